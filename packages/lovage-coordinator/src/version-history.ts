import {
	type BackendRecord,
	readSoftwareVersion,
	type VersionAges,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** Software versions that were in service, and when. */
export type VersionHistory = Readonly<{
	/** Records the versions of the known backend servers; called several times a second. */
	update: (records: Iterable<BackendRecord>) => void;
	describe: (service: string) => VersionAges;
	/** Time for which all versions in service have been recorded, in milliseconds. */
	readKnownForMs: () => number;
}>;

/** Longer than any stream lasts. */
const RETENTION_MS = 900_000;

/**
 * Creates the history of a control instance. On the first start of the whole system
 * no version was in service before.
 */
export function createVersionHistory(
	clock: Clock,
	isFirstStart: boolean,
): VersionHistory {
	const startedAt = clock.now();
	const seenAt = new Map<string, Map<string, number>>();

	const removeOld = (): void => {
		seenAt.forEach((versions, service) => {
			versions.forEach((at, version) => {
				if (clock.now() - at > RETENTION_MS) {
					versions.delete(version);
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
			for (const record of records) {
				const versions =
					seenAt.get(record.service) ?? new Map<string, number>();
				seenAt.set(record.service, versions);
				const version = readSoftwareVersion(record);
				// One that has ended before this instance heard of it began streams too.
				if (record.state !== 'gone' || !versions.has(version)) {
					versions.set(version, now);
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
		readKnownForMs: () =>
			isFirstStart
				? Number.MAX_SAFE_INTEGER
				: Math.round(clock.now() - startedAt),
	};
}
