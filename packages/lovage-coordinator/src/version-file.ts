import {createStateFile, type StateFile} from './state-file.js';

/** Software versions that a control instance knew, as it stores them. */
export type StoredVersions = Readonly<{
	/** Wall-clock time at which it knew them, in milliseconds since the epoch. */
	at: number;
	/** Software versions by service. */
	versions: Readonly<Record<string, readonly string[]>>;
}>;

/** Keeps the software versions over restarts of a control instance. */
export type VersionFile = StateFile<StoredVersions>;

/** One that was away for longer may have missed versions that came and left. */
const MAX_AWAY_MS = 60_000;
const FILE_NAME = 'software-versions.json';

function isStoredVersions(value: unknown): value is StoredVersions {
	const {at, versions} = (value ?? {}) as Partial<
		Record<keyof StoredVersions, unknown>
	>;
	return (
		typeof at === 'number' &&
		typeof versions === 'object' &&
		versions !== null &&
		Object.values(versions).every(
			(names: unknown) =>
				Array.isArray(names) &&
				names.every((name: unknown) => typeof name === 'string'),
		)
	);
}

/**
 * Whether stored versions are all that can have been in service until `now`, a
 * wall-clock time; one that was set back says nothing.
 */
export function isComplete({at}: StoredVersions, now: number): boolean {
	return at <= now && now - at <= MAX_AWAY_MS;
}

/** Creates access to the file of the software versions in a data folder. */
export function createVersionFile(folder: string): VersionFile {
	return createStateFile(folder, FILE_NAME, isStoredVersions);
}
