import path from 'node:path';

/** Name of the lock file. */
export const LOCK_FILE_NAME = 'lock';

const UNFINISHED_SUFFIX = '.unfinished';
const ARCHIVE_PREFIX = 'damaged-';

/** Files of one generation: a snapshot, if any, and the log after it. */
export type GenerationFiles = Readonly<{log: string; snapshot: string}>;

/** Names the files of a generation. */
export function getGenerationFiles(generation: number): GenerationFiles {
	return {log: `log-${generation}`, snapshot: `snapshot-${generation}`};
}

/** Name of a file while it is being written. */
export function toUnfinishedName(name: string): string {
	return name + UNFINISHED_SUFFIX;
}

/** Whether a file was never finished. */
export function isUnfinishedFile(name: string): boolean {
	return name.endsWith(UNFINISHED_SUFFIX);
}

/** Number of a log file; undefined for other files. */
export function parseLogGeneration(name: string): number | undefined {
	const match = /^log-(\d+)$/.exec(name);
	return match === null ? undefined : Number(match[1]);
}

/** Whether a file belongs to the store's content. */
export function isStoreFile(name: string): boolean {
	return /^(log|snapshot)-\d+$/.test(name);
}

/** Name of the next folder for damaged content. */
export function getNextArchiveName(names: readonly string[]): string {
	const numbers = names
		.filter((name) => name.startsWith(ARCHIVE_PREFIX))
		.map((name) => Number(name.slice(ARCHIVE_PREFIX.length)))
		.filter((number) => Number.isInteger(number));
	return `${ARCHIVE_PREFIX}${Math.max(0, ...numbers) + 1}`;
}

/** Path of a file in a folder. */
export function joinPath(folder: string, name: string): string {
	return path.join(folder, name);
}
