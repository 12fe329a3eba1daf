import type {ProgressResponse} from '@lovagevalve/wire';

/** Which configuration version each entry has applied. */
export type Progress = Extract<ProgressResponse, {kind: 'progress'}>;

type EntryProgress = Progress['entries'][number];

/** Whether an entry has applied a version; `stopped` if its lease has expired. */
export type EntryVersionStatus = 'in-force' | 'waiting' | 'stopped';

/** Returns whether an entry has applied a version. */
export function getEntryVersionStatus(
	{appliedVersion, leaseRemainingMs}: EntryProgress,
	version: number,
): EntryVersionStatus {
	if (leaseRemainingMs <= 0) {
		return 'stopped';
	}

	return appliedVersion >= version ? 'in-force' : 'waiting';
}

/**
 * Tells whether a version is in force at every entry that may serve. The list
 * of entries is not sufficient: a new leader does not yet know the leases that
 * its predecessor granted.
 */
export function isInForce(progress: Progress, version: number): boolean {
	return progress.version >= version && progress.inForceEverywhere;
}

/** Formats an entry and its version status as one line. */
export function formatEntry(entry: EntryProgress, version: number): string {
	const status = getEntryVersionStatus(entry, version);
	const {id, dataCentre, state, address} = entry.entry;
	const note = {
		'in-force': `version ${entry.appliedVersion} in force`,
		waiting: `at version ${entry.appliedVersion}, lease expires in ${Math.ceil(entry.leaseRemainingMs)} ms`,
		stopped: 'lease run out, accepts no new requests',
	}[status];
	return `${id} (${dataCentre}, ${state}, ${address}): ${note}`;
}
