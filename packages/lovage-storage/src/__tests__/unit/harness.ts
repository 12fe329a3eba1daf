import type {LogEntry} from '@lovagevalve/consensus';
import {
	openStore,
	type OpenedStore,
	type PersistEffect,
	type PersistSnapshotEffect,
	type ProcessTable,
} from '../../index.js';
import type {createMemoryFileSystem} from './memory-file-system.js';

/** Data folder of the tests. */
export const FOLDER = '/data';

const processes: ProcessTable = {
	nameSelf: async () => 'self',
	isRunning: async (name) => name === 'other',
};

type MemoryFileSystem = ReturnType<typeof createMemoryFileSystem>;

/** A store over files in memory, and what it reported. */
export function createHarness(files: MemoryFileSystem) {
	let identities = 0;
	const synced: number[] = [];
	const failures: Error[] = [];
	const options = {
		folder: FOLDER,
		fileSystem: files,
		processes,
		createReplicaId: () => `replica-${++identities}`,
		listener: {
			onSynced: (sequence: number) => synced.push(sequence),
			onFailure: (cause: Error) => failures.push(cause),
		},
	};
	return {
		options,
		synced,
		failures,
		async open(): Promise<OpenedStore> {
			const opened = await openStore(options);
			return opened._unsafeUnwrap();
		},
	};
}

/** A command that names its place. */
export function createEntry(index: number, term = 1): LogEntry {
	return {kind: 'command', index, term, data: `value ${index}.${term}`};
}

/** A write of entries. */
export function createPersist(
	sequence: number,
	...entries: LogEntry[]
): PersistEffect {
	return {kind: 'persist', sequence, entries};
}

/** A write of a snapshot. */
export function createSnapshot(
	sequence: number,
	index: number,
): PersistSnapshotEffect {
	const snapshot = {index, term: 1, members: [], data: `state ${index}`};
	return {kind: 'persist-snapshot', sequence, snapshot, replacesLog: false};
}
