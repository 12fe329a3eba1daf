import type {RaftEffect, RecoveredState} from '../../index.js';

/** An effect that writes to the disk. */
export type Write = Extract<RaftEffect, {kind: 'persist' | 'persist-snapshot'}>;

/** Returns the contents of a disk after a write. */
export function writeToDisk(
	disk: RecoveredState,
	write: Write,
): RecoveredState {
	if (write.kind === 'persist-snapshot') {
		const {snapshot, replacesLog} = write;
		const entries = replacesLog
			? []
			: disk.entries.filter(({index}) => index > snapshot.index);
		return {...disk, snapshot, entries};
	}

	const {truncateAfter = Infinity} = write;
	const kept = disk.entries.filter(({index}) => index <= truncateAfter);
	const hardState = write.hardState ?? disk.hardState;
	return {...disk, hardState, entries: [...kept, ...write.entries]};
}

/** Returns the contents of an empty disk. */
export function createDisk(replica: string): RecoveredState {
	return {replica, hardState: {term: 0}, entries: []};
}
