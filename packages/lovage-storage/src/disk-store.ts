import {invariant} from '@lovagevalve/core';
import type {AppendFile, FileSystem} from './file-system.js';
import {
	applyChange,
	applySnapshot,
	type LogChange,
	type BaseRecord,
	type StoredState,
	type PersistEffect,
	type PersistSnapshotEffect,
} from './stored-state.js';
import {joinPath, getGenerationFiles} from './file-names.js';
import {toError} from './store-error.js';
import {encodeRecord} from './record.js';
import {closeQuietly, createFileAtomically} from './atomic-file.js';

/** Callbacks of a store. */
export type StoreListener = Readonly<{
	/** Every write up to this sequence number is durable. */
	onSynced: (sequence: number) => void;
	/** A file operation failed. The store ignores further writes, and the process must stop. */
	onFailure: (cause: Error) => void;
}>;

/** Durable storage of a replicated log; writes are batched, with one sync for each batch. */
export type DiskStore = Readonly<{
	/** Queues a write; `onSynced` reports when it is durable. */
	write: (write: PersistEffect | PersistSnapshotEffect) => void;
	/** Finishes the queued writes and closes the files. */
	close: () => Promise<void>;
}>;

/** The recovered state, the open log file and the dependencies of a store. */
export type DiskStoreOptions = Readonly<{
	fileSystem: FileSystem;
	folder: string;
	state: StoredState;
	generation: number;
	file: AppendFile;
	listener: StoreListener;
}>;

/** Creates the log file of a generation and returns it open for appending. */
export async function createLogFile(
	fileSystem: FileSystem,
	folder: string,
	generation: number,
	state: StoredState,
): Promise<AppendFile> {
	const baseRecord: BaseRecord = {
		replica: state.replica,
		hasSnapshot: state.snapshot !== undefined,
		hardState: state.hardState,
		entries: state.entries,
	};
	const content = encodeRecord(JSON.stringify(baseRecord));
	const {log} = getGenerationFiles(generation);
	return createFileAtomically(fileSystem, folder, log, content);
}

/** Creates a store that continues from the recovered state of a folder. */
export function createDiskStore(options: DiskStoreOptions): DiskStore {
	const {fileSystem, folder, state, listener} = options;
	let {generation, file} = options;
	let queue: Array<PersistEffect | PersistSnapshotEffect> = [];
	let writeLoop: Promise<void> | undefined;
	let isStopped = false;

	const writeChanges = async (
		writes: readonly PersistEffect[],
	): Promise<void> => {
		const changes = writes.map(
			({hardState, truncateAfter, entries}): LogChange => ({
				hardState,
				truncateAfter,
				entries,
			}),
		);
		// Each sync covers exactly one record, so a record that is followed by another was synced.
		await file.append(encodeRecord(JSON.stringify(changes)));
		await file.sync();
		const isConsistent = changes.every((change) => applyChange(state, change));
		invariant(isConsistent, 'entries were written out of order');
	};

	const removeGeneration = async (old: number): Promise<void> => {
		const {log, snapshot} = getGenerationFiles(old);
		await fileSystem.remove(joinPath(folder, log));
		await fileSystem.remove(joinPath(folder, snapshot));
	};

	const writeSnapshot = async (
		effect: PersistSnapshotEffect,
	): Promise<void> => {
		const nextGeneration = generation + 1;
		const content = encodeRecord(JSON.stringify(effect.snapshot));
		const {snapshot} = getGenerationFiles(nextGeneration);
		const written = await createFileAtomically(
			fileSystem,
			folder,
			snapshot,
			content,
		);
		await written.close();
		applySnapshot(state, effect);
		const nextFile = await createLogFile(
			fileSystem,
			folder,
			nextGeneration,
			state,
		);
		await file.close();
		await removeGeneration(generation);
		file = nextFile;
		generation = nextGeneration;
	};

	const dequeueBatch = (): ReadonlyArray<
		PersistEffect | PersistSnapshotEffect
	> => {
		const end = queue.findIndex(({kind}) => kind === 'persist-snapshot');
		const length = end === -1 ? queue.length : Math.max(1, end);
		const batch = queue.slice(0, length);
		queue = queue.slice(length);
		return batch;
	};

	const writeBatch = async (): Promise<void> => {
		const batch = dequeueBatch();
		const [first] = batch;
		const changes = batch.filter((write) => write.kind === 'persist');
		await (first?.kind === 'persist-snapshot'
			? writeSnapshot(first)
			: writeChanges(changes));
		listener.onSynced(batch.at(-1)!.sequence);
	};

	const writeQueued = async (): Promise<void> => {
		try {
			while (queue.length > 0) {
				// eslint-disable-next-line no-await-in-loop -- batches are written in order
				await writeBatch();
			}
		} catch (error) {
			// After a failed sync the content on disk is unknown, so the write must not be retried.
			isStopped = true;
			queue = [];
			// A disk that stays full for long must not use up the descriptors.
			await closeQuietly(file);
			listener.onFailure(toError(error));
		}

		writeLoop = undefined;
	};

	return {
		write(write) {
			if (isStopped) {
				return;
			}

			queue.push(write);
			writeLoop ??= writeQueued();
		},
		async close() {
			await writeLoop;
			if (!isStopped) {
				isStopped = true;
				await file.close();
			}
		},
	};
}
