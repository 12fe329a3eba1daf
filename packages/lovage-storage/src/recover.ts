import type {Snapshot} from '@lovagevalve/consensus';
import {err, ok, type Result} from 'neverthrow';
import type {FileSystem} from './file-system.js';
import {restoreImage, type Image} from './image.js';
import {
	findLogGeneration,
	isContent,
	isUnfinished,
	joinPath,
	nameGeneration,
} from './names.js';
import type {StoreProblem} from './problem.js';
import {decodeRecords} from './record.js';

/** What was found in a data folder; no image if it has never been used. */
export type Recovery = Readonly<{
	image?: Image;
	generation: number;
	/** Bytes of an unfinished write that were cut off. */
	cutBytes: number;
}>;

function damaged<Value>(reason: string): Result<Value, StoreProblem> {
	return err({kind: 'damaged', reason});
}

async function readSnapshot(
	fileSystem: FileSystem,
	path: string,
): Promise<Result<Snapshot | undefined, StoreProblem>> {
	const content = await fileSystem.read(path);
	if (content === undefined) {
		return ok(undefined);
	}

	const {payloads, state} = decodeRecords(content);
	const [payload] = payloads;
	return state === 'whole' && payload !== undefined
		? ok(JSON.parse(payload) as Snapshot)
		: damaged('the snapshot is not what was written');
}

async function readLog(
	fileSystem: FileSystem,
	path: string,
): Promise<
	Result<{payloads: readonly string[]; cutBytes: number}, StoreProblem>
> {
	const content = (await fileSystem.read(path)) ?? new Uint8Array();
	const {payloads, validBytes, state} = decodeRecords(content);
	if (state === 'damaged') {
		return damaged(`the log is not what was written after byte ${validBytes}`);
	}

	const cutBytes = content.length - validBytes;
	if (cutBytes > 0 && payloads.length > 0) {
		await fileSystem.truncate(path, validBytes);
	}

	return ok({payloads, cutBytes});
}

async function removeOthers(
	fileSystem: FileSystem,
	folder: string,
	names: readonly string[],
	generation: number,
): Promise<void> {
	const {log, snapshot} = nameGeneration(generation);
	const others = names.filter(
		(name) =>
			isUnfinished(name) ||
			(isContent(name) && name !== log && name !== snapshot),
	);
	await Promise.all(
		others.map(async (name) => fileSystem.remove(joinPath(folder, name))),
	);
}

/** Reads the latest generation of a folder and removes what is left of others. */
export async function recover(
	fileSystem: FileSystem,
	folder: string,
): Promise<Result<Recovery, StoreProblem>> {
	const names = await fileSystem.list(folder);
	const generations = names.flatMap((name) => findLogGeneration(name) ?? []);
	if (generations.length === 0) {
		return names.some(isContent)
			? damaged('there is a snapshot without a log')
			: ok({generation: 0, cutBytes: 0});
	}

	const generation = Math.max(...generations);
	const files = nameGeneration(generation);
	const snapshot = await readSnapshot(
		fileSystem,
		joinPath(folder, files.snapshot),
	);
	const log = await readLog(fileSystem, joinPath(folder, files.log));
	if (snapshot.isErr() || log.isErr()) {
		return err(snapshot.isErr() ? snapshot.error : log._unsafeUnwrapErr());
	}

	const {payloads, cutBytes} = log.value;
	const image = restoreImage(payloads, snapshot.value);
	if (image.isErr()) {
		return damaged(image.error);
	}

	await removeOthers(fileSystem, folder, names, generation);
	return ok({image: image.value, generation, cutBytes});
}
