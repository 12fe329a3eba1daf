import {invariant} from '@lovagevalve/core';
import type {AppendFile, FileSystem} from './file-system.js';
import {
	applyChange,
	applySnapshot,
	type Change,
	type FirstRecord,
	type Image,
	type Persist,
	type PersistSnapshot,
} from './image.js';
import {joinPath, nameGeneration} from './names.js';
import {toError} from './problem.js';
import {encodeRecord} from './record.js';
import {createFile} from './write-file.js';

/** What a store reports. */
export type StoreListener = Readonly<{
	/** Every write up to this sequence number survives a power cut. */
	onSynced: (sequence: number) => void;
	/** A file call failed: nothing more is written, and the process must stop. */
	onFailure: (cause: Error) => void;
}>;

/** Writes for a replicated log, several with each sync. */
export type DiskStore = Readonly<{
	/** Takes a write; the listener hears when it is synced. */
	write: (write: Persist | PersistSnapshot) => void;
	/** Finishes what was taken and closes the files. */
	close: () => Promise<void>;
}>;

/** Where a store goes on. */
export type StoreStart = Readonly<{
	fileSystem: FileSystem;
	folder: string;
	image: Image;
	generation: number;
	file: AppendFile;
	listener: StoreListener;
}>;

/** Creates the log file of a generation and leaves it open. */
export async function createLogFile(
	fileSystem: FileSystem,
	folder: string,
	generation: number,
	image: Image,
): Promise<AppendFile> {
	const first: FirstRecord = {
		replica: image.replica,
		hasSnapshot: image.snapshot !== undefined,
		hardState: image.hardState,
		entries: image.entries,
	};
	const content = encodeRecord(JSON.stringify(first));
	const {log} = nameGeneration(generation);
	return createFile(fileSystem, folder, log, content);
}

/** Creates a store that goes on with a recovered folder. */
export function createDiskStore(start: StoreStart): DiskStore {
	const {fileSystem, folder, image, listener} = start;
	let {generation, file} = start;
	let queue: Array<Persist | PersistSnapshot> = [];
	let running: Promise<void> | undefined;
	let isStopped = false;

	const writeChanges = async (writes: readonly Persist[]): Promise<void> => {
		const changes = writes.map(
			({hardState, truncateAfter, entries}): Change => ({
				hardState,
				truncateAfter,
				entries,
			}),
		);
		// One record for one sync: a record that is followed by another was synced.
		await file.append(encodeRecord(JSON.stringify(changes)));
		await file.sync();
		const isConsistent = changes.every((change) => applyChange(image, change));
		invariant(isConsistent, 'entries were written out of order');
	};

	const removeGeneration = async (old: number): Promise<void> => {
		const {log, snapshot} = nameGeneration(old);
		await fileSystem.remove(joinPath(folder, log));
		await fileSystem.remove(joinPath(folder, snapshot));
	};

	const writeSnapshot = async (write: PersistSnapshot): Promise<void> => {
		const next = generation + 1;
		const content = encodeRecord(JSON.stringify(write.snapshot));
		const {snapshot} = nameGeneration(next);
		const written = await createFile(fileSystem, folder, snapshot, content);
		await written.close();
		applySnapshot(image, write);
		const opened = await createLogFile(fileSystem, folder, next, image);
		await file.close();
		await removeGeneration(generation);
		file = opened;
		generation = next;
	};

	const takeBatch = (): ReadonlyArray<Persist | PersistSnapshot> => {
		const end = queue.findIndex(({kind}) => kind === 'persist-snapshot');
		const length = end === -1 ? queue.length : Math.max(1, end);
		const batch = queue.slice(0, length);
		queue = queue.slice(length);
		return batch;
	};

	const writeBatch = async (): Promise<void> => {
		const batch = takeBatch();
		const [first] = batch;
		const changes = batch.filter((write) => write.kind === 'persist');
		await (first?.kind === 'persist-snapshot'
			? writeSnapshot(first)
			: writeChanges(changes));
		listener.onSynced(batch.at(-1)!.sequence);
	};

	const drain = async (): Promise<void> => {
		try {
			while (queue.length > 0) {
				// eslint-disable-next-line no-await-in-loop -- one batch after the other
				await writeBatch();
			}
		} catch (error) {
			// What a failed sync left behind is unknown: it must not be tried again.
			isStopped = true;
			queue = [];
			listener.onFailure(toError(error));
		}

		running = undefined;
	};

	return {
		write(write) {
			if (isStopped) {
				return;
			}

			queue.push(write);
			running ??= drain();
		},
		async close() {
			await running;
			isStopped = true;
			await file.close();
		},
	};
}
