import type {Snapshot} from '@lovagevalve/consensus';
import {err, ok, type Result} from 'neverthrow';
import {decodeSnapshot} from './decode-stored.js';
import type {FileSystem} from './file-system.js';
import {restoreState, type StoredState} from './stored-state.js';
import {
	parseLogGeneration,
	isStoreFile,
	isUnfinishedFile,
	joinPath,
	getGenerationFiles,
} from './file-names.js';
import type {StoreError} from './store-error.js';
import {decodeRecords} from './record.js';

/** State recovered from a data folder; without `state` if the folder is empty. */
export type Recovery = Readonly<{
	state?: StoredState;
	generation: number;
	/** Bytes of an incomplete last write that were truncated. */
	cutBytes: number;
}>;

function createDamagedError<Value>(reason: string): Result<Value, StoreError> {
	return err({kind: 'damaged', reason});
}

async function readSnapshot(
	fileSystem: FileSystem,
	path: string,
): Promise<Result<Snapshot | undefined, StoreError>> {
	const content = await fileSystem.read(path);
	if (content === undefined) {
		return ok(undefined);
	}

	const {payloads, state} = decodeRecords(content);
	const [payload] = payloads;
	return state === 'whole' && payload !== undefined
		? decodeSnapshot(payload).mapErr((reason) => ({kind: 'damaged', reason}))
		: createDamagedError('the snapshot is corrupt');
}

async function readLog(
	fileSystem: FileSystem,
	path: string,
): Promise<
	Result<{payloads: readonly string[]; cutBytes: number}, StoreError>
> {
	const content = (await fileSystem.read(path)) ?? new Uint8Array();
	const {payloads, validBytes, state} = decodeRecords(content);
	if (state === 'damaged') {
		return createDamagedError(`the log is corrupt after byte ${validBytes}`);
	}

	const cutBytes = content.length - validBytes;
	if (cutBytes > 0 && payloads.length > 0) {
		await fileSystem.truncate(path, validBytes);
	}

	return ok({payloads, cutBytes});
}

async function removeStaleFiles(
	fileSystem: FileSystem,
	folder: string,
	names: readonly string[],
	generation: number,
): Promise<void> {
	const {log, snapshot} = getGenerationFiles(generation);
	const staleFiles = names.filter(
		(name) =>
			isUnfinishedFile(name) ||
			(isStoreFile(name) && name !== log && name !== snapshot),
	);
	await Promise.all(
		staleFiles.map(async (name) => fileSystem.remove(joinPath(folder, name))),
	);
}

/** Recovers the latest generation of a folder and removes unfinished files and those of other generations. */
export async function recoverFolder(
	fileSystem: FileSystem,
	folder: string,
): Promise<Result<Recovery, StoreError>> {
	const names = await fileSystem.list(folder);
	const generations = names.flatMap((name) => parseLogGeneration(name) ?? []);
	if (generations.length === 0) {
		return names.some(isStoreFile)
			? createDamagedError('there is a snapshot without a log')
			: ok({generation: 0, cutBytes: 0});
	}

	const generation = Math.max(...generations);
	const files = getGenerationFiles(generation);
	const snapshot = await readSnapshot(
		fileSystem,
		joinPath(folder, files.snapshot),
	);
	const log = await readLog(fileSystem, joinPath(folder, files.log));
	if (snapshot.isErr() || log.isErr()) {
		return err(snapshot.isErr() ? snapshot.error : log._unsafeUnwrapErr());
	}

	const {payloads, cutBytes} = log.value;
	const state = restoreState(payloads, snapshot.value);
	if (state.isErr()) {
		return createDamagedError(state.error);
	}

	await removeStaleFiles(fileSystem, folder, names, generation);
	return ok({state: state.value, generation, cutBytes});
}
