import path from 'node:path';

export const LOCK_FILE_NAME = 'lock';

const UNFINISHED_SUFFIX = '.unfinished';
const ARCHIVE_PREFIX = 'damaged-';

/** File names of a generation: an optional snapshot and the log that follows it. */
export type GenerationFiles = Readonly<{log: string; snapshot: string}>;

/** Returns the file names of a generation. */
export function getGenerationFiles(generation: number): GenerationFiles {
	return {log: `log-${generation}`, snapshot: `snapshot-${generation}`};
}

/** Returns the temporary name of a file that is being written. */
export function toUnfinishedName(name: string): string {
	return name + UNFINISHED_SUFFIX;
}

/** Whether a name is the temporary name of a file whose write did not finish. */
export function isUnfinishedFile(name: string): boolean {
	return name.endsWith(UNFINISHED_SUFFIX);
}

/** Parses the generation of a log file; `undefined` for other files. */
export function parseLogGeneration(name: string): number | undefined {
	const match = /^log-(\d+)$/.exec(name);
	return match === null ? undefined : Number(match[1]);
}

/** Whether a name is that of a log or snapshot file. */
export function isStoreFile(name: string): boolean {
	return /^(log|snapshot)-\d+$/.test(name);
}

/** Returns the name of a new folder for damaged files, numbered one above the highest in use. */
export function getNextArchiveName(names: readonly string[]): string {
	const numbers = names
		.filter((name) => name.startsWith(ARCHIVE_PREFIX))
		.map((name) => Number(name.slice(ARCHIVE_PREFIX.length)))
		.filter((number) => Number.isInteger(number));
	return `${ARCHIVE_PREFIX}${Math.max(0, ...numbers) + 1}`;
}

/** Joins a folder and the name of a file in it. */
export function joinPath(folder: string, name: string): string {
	return path.join(folder, name);
}
