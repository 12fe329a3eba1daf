import type {BackendRecord, EntryReport} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';
import {ok} from 'neverthrow';
import {
	createOriginRegistry,
	createRegistry,
	createVersionHistory,
	type Registry,
} from '../../index.js';

const noop = (): undefined => undefined;

export const silentLogger = {debug: noop, info: noop, warn: noop, error: noop};

/** A backend server that is ready; it named no software version. */
export const READY_RECORD: BackendRecord = {
	id: 'e-1',
	service: 'model',
	address: '10.0.0.1:80',
	dataCentre: 'a',
	state: 'ready',
	slots: 8,
	bornAt: 1,
	sequence: 1,
	heardAt: 0,
};

/** A registry and its history of software versions, which is not stored. */
export type TestRegistry = Readonly<{
	registry: Registry;
	versions: ReturnType<typeof createVersionHistory>;
}>;

/** Creates an empty registry. */
export function createTestRegistry(
	clock: Clock,
	log: Logger = silentLogger,
	isFirstStart = true,
): TestRegistry {
	const versions = createVersionHistory({
		clock,
		log,
		file: {load: async () => ok(undefined), save: async () => ok()},
		isFirstStart,
		catchUpMs: 0,
	});
	const registry = createRegistry(clock, log, {
		epoch: 1,
		versions,
		origins: createOriginRegistry(clock),
		random: () => 0,
	});
	return {registry, versions};
}

/** Creates the report of an entry that is ready. */
export function createReport(
	entry: string,
	change: Partial<EntryReport> = {},
): EntryReport {
	return {
		entry,
		address: `${entry}:80`,
		dataCentre: 'a',
		standing: 'ready',
		version: 1,
		loads: {},
		retries: {},
		crashes: [],
		wantsOverview: true,
		wantsAges: false,
		...change,
	};
}
