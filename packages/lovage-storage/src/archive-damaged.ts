import type {FileSystem} from './file-system.js';
import {
	parseLogGeneration,
	isStoreFile,
	joinPath,
	getNextArchiveName,
} from './file-names.js';

/**
 * Moves the content of a damaged folder into a folder of its own and returns
 * that folder's name. The latest log goes last: until then the folder stays
 * damaged, even if the process ends in between.
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
		// eslint-disable-next-line no-await-in-loop -- the order matters
		await fileSystem.rename(joinPath(folder, name), target);
	}

	await fileSystem.syncFolder(joinPath(folder, archiveName));
	await fileSystem.syncFolder(folder);
	return archiveName;
}
