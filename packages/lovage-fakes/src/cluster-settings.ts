import {hashKey} from '@lovagevalve/inventory';
import {stringify} from 'yaml';

const CURSOR_SECRET = 'development-cursor-secret';

/** How long a claim of a dead entry is in progress. */
const CLAIM_HOLD_TIME_MS = 6000;

/** How long callers of a development cluster keep their addresses. */
export const ADDRESS_LIFETIME_MS = 2000;

/** What the settings of one program say. */
export type DaemonSettings = Readonly<{
	name: string;
	port: number;
	/** Base URL that the others use. */
	address: string;
	controls: readonly string[];
}>;

/** Settings of `lovage-control` in YAML. */
export function createControlSettings({
	name,
	port,
	address,
	controls,
	dataFolder,
	operatorKey,
}: DaemonSettings &
	Readonly<{dataFolder: string; operatorKey: string}>): string {
	return stringify({
		name,
		listen: {host: '127.0.0.1', port},
		address,
		controls,
		dataFolder,
		bootstrapOperatorKeyHash: hashKey(operatorKey),
		timings: {claimHoldMs: CLAIM_HOLD_TIME_MS},
	});
}

/** Settings of `lovage-entry` in YAML. */
export function createEntrySettings({
	name,
	port,
	address,
	controls,
	dataCentre,
}: DaemonSettings & Readonly<{dataCentre: string}>): string {
	return stringify({
		id: name,
		listen: {host: '127.0.0.1', port},
		address,
		controls,
		dataCentre,
		cursorSecret: CURSOR_SECRET,
		timings: {addressLifetimeMs: ADDRESS_LIFETIME_MS},
	});
}
