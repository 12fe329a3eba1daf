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

/** Data folder, callbacks and replaceable dependencies of a store. */
export type StoreOptions = Readonly<{
	folder: string;
	listener: StoreListener;
	fileSystem?: FileSystem;
	processes?: ProcessTable;
	/** Creates the ID of a new replica; must be unique. */
	createReplicaId?: () => string;
}>;

/** An open store and the state recovered from its folder. */
export type OpenedStore = Readonly<{
	store: DiskStore;
	recovered: RecoveredState;
	/** Whether the folder was empty, because it is new or its damaged files were archived. */
	isNew: boolean;
	/** Bytes of an incomplete last write that were truncated. */
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

/** Opens a data folder; an empty one gets a new replica ID. */
export async function openStore(
	options: StoreOptions,
): Promise<Result<OpenedStore, StoreError>> {
	try {
		return await openFolder(applyDefaults(options));
	} catch (error) {
		return err(toStoreError(error));
	}
}

/** Archives the files of a damaged folder, so that it opens with a new replica ID. */
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
