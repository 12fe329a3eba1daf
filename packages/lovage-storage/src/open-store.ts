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
import {toRecoveredState, type StoredState} from './stored-state.js';
import {
	linuxProcesses,
	releaseLock,
	acquireLock,
	type ProcessTable,
} from './lock.js';
import {joinPath, getGenerationFiles} from './file-names.js';
import {nodeFileSystem} from './node-file-system.js';
import {toStoreError, type StoreError} from './store-error.js';
import {recoverFolder, type Recovery} from './recover-folder.js';
import {archiveDamagedFiles} from './archive-damaged.js';

/** Where a store lives, and what it works with. */
export type StoreOptions = Readonly<{
	folder: string;
	listener: StoreListener;
	fileSystem?: FileSystem;
	processes?: ProcessTable;
	/** Makes the identity of a new replica; never the same twice. */
	createReplicaId?: () => string;
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

type ResolvedOptions = Readonly<{
	folder: string;
	listener: StoreListener;
	fileSystem: FileSystem;
	processes: ProcessTable;
	createReplicaId: () => string;
}>;

function applyDefaults(options: StoreOptions): ResolvedOptions {
	return {
		...options,
		fileSystem: options.fileSystem ?? nodeFileSystem,
		processes: options.processes ?? linuxProcesses,
		createReplicaId: options.createReplicaId ?? randomUUID,
	};
}

function createInitialState(replica: string): StoredState {
	return {replica, hardState: {term: 0}, snapshot: undefined, entries: []};
}

async function createOpenedStore(
	options: ResolvedOptions,
	recovery: Recovery,
): Promise<OpenedStore> {
	const {fileSystem, folder, listener, createReplicaId} = options;
	const isNew = recovery.state === undefined;
	const state = recovery.state ?? createInitialState(createReplicaId());
	const generation = isNew ? 1 : recovery.generation;
	const path = joinPath(folder, getGenerationFiles(generation).log);
	const file = isNew
		? await createLogFile(fileSystem, folder, generation, state)
		: await fileSystem.openAppend(path);
	const store = createDiskStore({
		fileSystem,
		folder,
		state,
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
		recovered: toRecoveredState(state),
		isNew,
		cutBytes: recovery.cutBytes,
	};
}

async function openFolder(
	options: ResolvedOptions,
): Promise<Result<OpenedStore, StoreError>> {
	const {fileSystem, folder, processes} = options;
	await fileSystem.createFolder(folder);
	const holder = await acquireLock(fileSystem, folder, processes);
	if (holder !== undefined) {
		return err({kind: 'locked', holder});
	}

	const recovery = await recoverFolder(fileSystem, folder);
	if (recovery.isErr()) {
		await releaseLock(fileSystem, folder);
		return err(recovery.error);
	}

	return ok(await createOpenedStore(options, recovery.value));
}

/** Opens a data folder; a new one gets a new identity. */
export async function openStore(
	options: StoreOptions,
): Promise<Result<OpenedStore, StoreError>> {
	try {
		return await openFolder(applyDefaults(options));
	} catch (error) {
		return err(toStoreError(error));
	}
}

/** Moves damaged content aside, so that the folder opens under a new identity. */
export async function archiveDamagedStore(
	options: StoreOptions,
): Promise<Result<string, StoreError>> {
	const {fileSystem, folder, processes} = applyDefaults(options);
	try {
		const holder = await acquireLock(fileSystem, folder, processes);
		if (holder !== undefined) {
			return err({kind: 'locked', holder});
		}

		const archiveName = await archiveDamagedFiles(fileSystem, folder);
		await releaseLock(fileSystem, folder);
		return ok(archiveName);
	} catch (error) {
		return err(toStoreError(error));
	}
}
