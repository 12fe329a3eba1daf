import type {ProgressResponse} from '@lovagevalve/wire';

/** An answer that tells how far a version is in force. */
export type Progress = Extract<ProgressResponse, {kind: 'progress'}>;

type EntryProgress = Progress['entries'][number];

/** Where a version stands at one entry. */
export type EntryStanding = 'in-force' | 'waiting' | 'stopped';

/** Tells where a version stands at an entry. */
export function judgeEntry(
	{appliedVersion, leaseRemainingMs}: EntryProgress,
	version: number,
): EntryStanding {
	if (leaseRemainingMs <= 0) {
		return 'stopped';
	}

	return appliedVersion >= version ? 'in-force' : 'waiting';
}

/**
 * Tells whether a version is in force at every entry that may serve. The list
 * of entries does not tell: a new leader does not know yet who holds a lease of
 * its predecessor.
 */
export function isInForce(progress: Progress, version: number): boolean {
	return progress.version >= version && progress.inForceEverywhere;
}

/** Writes where a version stands at an entry. */
export function formatEntry(entry: EntryProgress, version: number): string {
	const standing = judgeEntry(entry, version);
	const {id, dataCentre, state, address} = entry.entry;
	const note = {
		'in-force': `version ${entry.appliedVersion} in force`,
		waiting: `at version ${entry.appliedVersion}, lease for ${Math.ceil(entry.leaseRemainingMs)} ms`,
		stopped: 'lease run out, takes no new work',
	}[standing];
	return `${id} (${dataCentre}, ${state}, ${address}): ${note}`;
}
