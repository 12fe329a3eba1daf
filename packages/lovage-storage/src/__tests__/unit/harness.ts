import type {LogEntry} from '@lovagevalve/consensus';
import {
	openStore,
	type OpenedStore,
	type PersistEffect,
	type PersistSnapshotEffect,
	type ProcessTable,
} from '../../index.js';
import type {createMemoryFileSystem} from './memory-file-system.js';

export const FOLDER = '/data';

const processes: ProcessTable = {
	nameSelf: async () => 'self',
	isRunning: async (name) => name === 'other',
};

type MemoryFileSystem = ReturnType<typeof createMemoryFileSystem>;

/** Opens stores over files in memory and records their callbacks. */
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

/** Creates a command entry whose data holds its index and term. */
export function createEntry(index: number, term = 1): LogEntry {
	return {kind: 'command', index, term, data: `value ${index}.${term}`};
}

/** Creates the effect that persists entries. */
export function createPersist(
	sequence: number,
	...entries: LogEntry[]
): PersistEffect {
	return {kind: 'persist', sequence, entries};
}

/** Creates the effect that persists a snapshot. */
export function createSnapshot(
	sequence: number,
	index: number,
): PersistSnapshotEffect {
	const snapshot = {index, term: 1, members: [], data: `state ${index}`};
	return {kind: 'persist-snapshot', sequence, snapshot, replacesLog: false};
}
