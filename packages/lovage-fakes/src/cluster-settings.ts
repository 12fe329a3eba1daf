import {hashKey} from '@lovagevalve/inventory';
import {stringify} from 'yaml';

const CURSOR_SECRET = 'development-cursor-secret';

/** How long a claim stays in progress after its entry has failed. */
const CLAIM_HOLD_TIME_MS = 6000;

/** How long callers of a development cluster cache entry addresses. */
export const ADDRESS_LIFETIME_MS = 2000;

/** Settings common to the daemons. */
export type DaemonSettings = Readonly<{
	name: string;
	port: number;
	/** Base URL that the other members use. */
	address: string;
	controls: readonly string[];
}>;

/** Returns the settings file of `lovage-control` as YAML. */
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

/** Returns the settings file of `lovage-entry` as YAML. */
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
