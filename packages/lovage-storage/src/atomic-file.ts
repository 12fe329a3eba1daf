import type {AppendFile, FileSystem} from './file-system.js';
import {joinPath, toUnfinishedName} from './file-names.js';

/** Closes a file after a failure, which an error of closing it must not hide. */
export async function closeQuietly(file: AppendFile): Promise<void> {
	try {
		await file.close();
	} catch {
		// Nothing more is written to it.
	}
}

/** Creates a file atomically, by renaming a synced temporary file, and returns it open for appending. */
export async function createFileAtomically(
	fileSystem: FileSystem,
	folder: string,
	name: string,
	content: Uint8Array,
): Promise<AppendFile> {
	const unfinished = joinPath(folder, toUnfinishedName(name));
	await fileSystem.remove(unfinished);
	const file = await fileSystem.openAppend(unfinished);
	try {
		await file.append(content);
		await file.sync();
		await fileSystem.rename(unfinished, joinPath(folder, name));
		await fileSystem.syncFolder(folder);
	} catch (error) {
		await closeQuietly(file);
		throw error;
	}

	return file;
}
