import {
	type BackendRecord,
	readSoftwareVersion,
	type VersionAges,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';
import {
	isComplete,
	type StoredVersions,
	type VersionFile,
} from './version-file.js';

/** Software versions that were in service, and when. */
export type VersionHistory = Readonly<{
	/** Records the versions of the known backend servers; called several times a second. */
	update: (records: Iterable<BackendRecord>) => void;
	describe: (service: string) => VersionAges;
	/** Whether a version of a service was in service lately, as far as is known. */
	isKnown: (service: string, version: string) => boolean;
	/** Number of versions of all services that were in service lately. */
	count: () => number;
	/** Time for which all versions in service have been recorded, in milliseconds. */
	readKnownForMs: () => number;
	/** Reads what was known before a restart. */
	load: () => Promise<void>;
	/** Stores what is known if it has changed or was stored some time ago. */
	maintain: () => Promise<void>;
}>;

/** Dependencies of a history. */
export type VersionHistoryOptions = Readonly<{
	clock: Clock;
	log: Logger;
	file: VersionFile;
	/** Whether no version was in service before. */
	isFirstStart: boolean;
	/** Time in which all backend servers that serve register once, in milliseconds. */
	catchUpMs: number;
}>;

/** Longer than any stream lasts. */
const RETENTION_MS = 900_000;
/** Interval at which the file shows that the instance is in service. */
const STORE_INTERVAL_MS = 5000;
/** An instance that records nothing for this long was stopped, and missed registrations. */
const MAX_PAUSE_MS = 2000;

/** Creates the history of a control instance. */
export function createVersionHistory({
	clock,
	log,
	file,
	isFirstStart,
	catchUpMs,
}: VersionHistoryOptions): VersionHistory {
	const startedAt = clock.now();
	let isRemembered = isFirstStart;
	/** From then on, versions that serve but were missed have registered. */
	let caughtUpAt = isFirstStart ? startedAt : startedAt + catchUpMs;
	let updatedAt = startedAt;
	const seenAt = new Map<string, Map<string, number>>();
	let total = 0;
	/** What was last sent to the file, and when. */
	let attempt = {text: '', at: Number.NEGATIVE_INFINITY};
	let isStoring = false;
	let isLoaded = false;

	const record = (service: string, version: string, at: number): void => {
		const versions = seenAt.get(service) ?? new Map<string, number>();
		total += versions.has(version) ? 0 : 1;
		seenAt.set(service, versions.set(version, at));
	};

	const listVersions = (): StoredVersions['versions'] =>
		Object.fromEntries(
			[...seenAt].map(([service, versions]) => [
				service,
				[...versions.keys()].toSorted(),
			]),
		);

	const removeOld = (): void => {
		seenAt.forEach((versions, service) => {
			versions.forEach((at, version) => {
				if (clock.now() - at > RETENTION_MS) {
					versions.delete(version);
					total -= 1;
				}
			});
			if (versions.size === 0) {
				seenAt.delete(service);
			}
		});
	};

	return {
		update(records) {
			const now = clock.now();
			const pauseMs = now - updatedAt;
			updatedAt = now;
			if (pauseMs > MAX_PAUSE_MS) {
				caughtUpAt = now + catchUpMs;
				log.warn('This instance stood still; it may miss software versions.', {
					pauseMs: Math.round(pauseMs),
					catchUpMs,
				});
			}

			for (const backend of records) {
				const {service, state} = backend;
				const version = readSoftwareVersion(backend);
				// One that has ended before this instance heard of it began streams too.
				if (
					state !== 'gone' ||
					seenAt.get(service)?.get(version) === undefined
				) {
					record(service, version, now);
				}
			}

			removeOld();
		},
		describe(service) {
			const now = clock.now();
			return Object.fromEntries(
				[...(seenAt.get(service) ?? [])].map(([version, at]) => [
					version,
					Math.round(now - at),
				]),
			);
		},
		isKnown: (service, version) => seenAt.get(service)?.has(version) ?? false,
		count: () => total,
		readKnownForMs() {
			const now = clock.now();
			if (now < caughtUpAt) {
				return 0;
			}

			return isRemembered
				? Number.MAX_SAFE_INTEGER
				: Math.round(now - startedAt);
		},
		async load() {
			const loaded = await file.load();
			const stored = loaded.unwrapOr(undefined);
			if (loaded.isErr()) {
				log.error('Failed to read the software versions.', {
					reason: loaded.error,
				});
			}

			const isUsable = stored !== undefined && isComplete(stored, clock.wall());
			isRemembered ||= isUsable;
			isLoaded = true;
			// When they were last in service is not known, so they count as if now.
			Object.entries(stored?.versions ?? {}).forEach(([service, versions]) => {
				versions.forEach((version) => {
					record(service, version, clock.now());
				});
			});
			log.info('The software versions are loaded.', {
				services: Object.keys(stored?.versions ?? {}).length,
				isComplete: isRemembered,
				...(stored === undefined
					? {}
					: {awayMs: Math.round(clock.wall() - stored.at)}),
			});
		},
		async maintain() {
			const versions = listVersions();
			const text = JSON.stringify(versions);
			const now = clock.now();
			const isDue =
				text !== attempt.text || now - attempt.at >= STORE_INTERVAL_MS;
			// What is not complete must not be read as such after a restart.
			const knowsAll = isRemembered || now - startedAt >= RETENTION_MS;
			if (!isLoaded || isStoring || !isDue || !knowsAll) {
				return;
			}

			isStoring = true;
			attempt = {text, at: now};
			const saved = await file.save({at: clock.wall(), versions});
			isStoring = false;
			if (saved.isErr()) {
				log.warn('Failed to store the software versions.', {
					reason: saved.error,
				});
			}
		},
	};
}
