import type {FileSystem} from './file-system.js';
import {
	parseLogGeneration,
	isStoreFile,
	joinPath,
	getNextArchiveName,
} from './file-names.js';

/**
 * Moves the files of a damaged folder into a new subfolder and returns its name.
 * The latest log is moved last, so that the folder is still found damaged if the
 * process ends in between.
 */
export async function archiveDamagedFiles(
	fileSystem: FileSystem,
	folder: string,
): Promise<string> {
	const names = await fileSystem.list(folder);
	const archiveName = getNextArchiveName(names);
	await fileSystem.createFolder(joinPath(folder, archiveName));
	const getSortKey = (name: string): number => parseLogGeneration(name) ?? -1;
	const files = names
		.filter(isStoreFile)
		.toSorted((a, b) => getSortKey(a) - getSortKey(b));
	for (const name of files) {
		const target = joinPath(joinPath(folder, archiveName), name);
		// eslint-disable-next-line no-await-in-loop -- the latest log must be moved last
		await fileSystem.rename(joinPath(folder, name), target);
	}

	await fileSystem.syncFolder(joinPath(folder, archiveName));
	await fileSystem.syncFolder(folder);
	return archiveName;
}
