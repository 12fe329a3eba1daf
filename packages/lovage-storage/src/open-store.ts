import {randomUUID} from 'node:crypto';
import type {RecoveredState} from '@lovagevalve/consensus';
import {err, ok, type Result} from 'neverthrow';
import {
	createDiskStore,
	createLogFile,
	type DiskStore,
	type StoreListener,
} from './disk-store.js';
import type {FileSystem} from './file-system.js';
import {readRecovered, type Image} from './image.js';
import {
	linuxProcesses,
	releaseLock,
	takeLock,
	type ProcessTable,
} from './lock.js';
import {joinPath, nameGeneration} from './names.js';
import {nodeFileSystem} from './node-file-system.js';
import {toProblem, type StoreProblem} from './problem.js';
import {recover, type Recovery} from './recover.js';
import {setAside} from './set-aside.js';

/** Where a store lives, and what it works with. */
export type StoreOptions = Readonly<{
	folder: string;
	listener: StoreListener;
	fileSystem?: FileSystem;
	processes?: ProcessTable;
	/** Makes the identity of a new replica; never the same twice. */
	createIdentity?: () => string;
}>;

/** A store and what its folder held. */
export type OpenedStore = Readonly<{
	store: DiskStore;
	recovered: RecoveredState;
	/** The folder had never been used, or was set aside. */
	isNew: boolean;
	/** Bytes of an unfinished write that were cut off. */
	cutBytes: number;
}>;

type Parts = Readonly<{
	folder: string;
	listener: StoreListener;
	fileSystem: FileSystem;
	processes: ProcessTable;
	createIdentity: () => string;
}>;

function completeOptions(options: StoreOptions): Parts {
	return {
		...options,
		fileSystem: options.fileSystem ?? nodeFileSystem,
		processes: options.processes ?? linuxProcesses,
		createIdentity: options.createIdentity ?? randomUUID,
	};
}

function createImage(replica: string): Image {
	return {replica, hardState: {term: 0}, snapshot: undefined, entries: []};
}

async function start(parts: Parts, found: Recovery): Promise<OpenedStore> {
	const {fileSystem, folder, listener, createIdentity} = parts;
	const isNew = found.image === undefined;
	const image = found.image ?? createImage(createIdentity());
	const generation = isNew ? 1 : found.generation;
	const path = joinPath(folder, nameGeneration(generation).log);
	const file = isNew
		? await createLogFile(fileSystem, folder, generation, image)
		: await fileSystem.openAppend(path);
	const store = createDiskStore({
		fileSystem,
		folder,
		image,
		generation,
		file,
		listener,
	});
	const close = async (): Promise<void> => {
		await store.close();
		await releaseLock(fileSystem, folder);
	};

	return {
		store: {write: store.write, close},
		recovered: readRecovered(image),
		isNew,
		cutBytes: found.cutBytes,
	};
}

async function open(parts: Parts): Promise<Result<OpenedStore, StoreProblem>> {
	const {fileSystem, folder, processes} = parts;
	await fileSystem.makeFolder(folder);
	const holder = await takeLock(fileSystem, folder, processes);
	if (holder !== undefined) {
		return err({kind: 'locked', holder});
	}

	const found = await recover(fileSystem, folder);
	if (found.isErr()) {
		await releaseLock(fileSystem, folder);
		return err(found.error);
	}

	return ok(await start(parts, found.value));
}

/** Opens a data folder; a new one gets a new identity. */
export async function openStore(
	options: StoreOptions,
): Promise<Result<OpenedStore, StoreProblem>> {
	try {
		return await open(completeOptions(options));
	} catch (error) {
		return err(toProblem(error));
	}
}

/** Moves damaged content aside, so that the folder opens under a new identity. */
export async function setStoreAside(
	options: StoreOptions,
): Promise<Result<string, StoreProblem>> {
	const {fileSystem, folder, processes} = completeOptions(options);
	try {
		const holder = await takeLock(fileSystem, folder, processes);
		if (holder !== undefined) {
			return err({kind: 'locked', holder});
		}

		const target = await setAside(fileSystem, folder);
		await releaseLock(fileSystem, folder);
		return ok(target);
	} catch (error) {
		return err(toProblem(error));
	}
}
