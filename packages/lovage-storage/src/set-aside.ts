import type {FileSystem} from './file-system.js';
import {findLogGeneration, isContent, joinPath, nameSetAside} from './names.js';

/**
 * Moves the content of a damaged folder into a folder of its own and returns
 * that folder's name. The latest log goes last: until then the folder stays
 * damaged, even if the process ends in between.
 */
export async function setAside(
	fileSystem: FileSystem,
	folder: string,
): Promise<string> {
	const names = await fileSystem.list(folder);
	const target = nameSetAside(names);
	await fileSystem.makeFolder(joinPath(folder, target));
	const order = (name: string): number => findLogGeneration(name) ?? -1;
	const content = names
		.filter(isContent)
		.toSorted((a, b) => order(a) - order(b));
	for (const name of content) {
		const moved = joinPath(joinPath(folder, target), name);
		// eslint-disable-next-line no-await-in-loop -- the order matters
		await fileSystem.rename(joinPath(folder, name), moved);
	}

	await fileSystem.syncFolder(joinPath(folder, target));
	await fileSystem.syncFolder(folder);
	return target;
}
