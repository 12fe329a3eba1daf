import type {OriginReport, StreamOrigin} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';
import type {StoredOrigin} from './origin-log.js';

/** Origins of streams as the entries report them. */
export type OriginRegistry = Readonly<{
	applyReport: (origins: readonly OriginReport[]) => void;
	/** Adds origins that were known before a restart. */
	restore: (origins: readonly StoredOrigin[]) => void;
	find: (key: string) => StreamOrigin | undefined;
	/** Returns the origins that were reported since the last call. */
	takeReported: () => readonly StoredOrigin[];
	count: () => number;
}>;

type KnownOrigin = Readonly<{
	origin: StreamOrigin;
	/** End of the time in which the caller may resume, in monotonic milliseconds. */
	until: number;
}>;

/** Limit of the origins in memory, about 30 MB; the oldest are dropped first. */
const MAX_ORIGINS = 200_000;
/** Limit of the origins that wait to be stored; further ones aren't. */
const MAX_REPORTED = 50_000;
/** Longest time for which an origin is kept. */
const MAX_KEEP_MS = 900_000;
/** An origin that is reported again is stored again if it is kept for this much longer. */
const MIN_EXTENSION_MS = 1000;

/** Creates a registry without any origins. */
export function createOriginRegistry(clock: Clock): OriginRegistry {
	const known = new Map<string, KnownOrigin>();
	let reported: StoredOrigin[] = [];

	const removeExpired = (): void => {
		const now = clock.now();
		for (const [key, {until}] of known) {
			if (until > now && known.size <= MAX_ORIGINS) {
				return;
			}

			known.delete(key);
		}
	};

	/** Records an origin; returns whether it adds to what was known. */
	const record = ([
		key,
		service,
		softwareVersion,
		keepMs,
	]: OriginReport): boolean => {
		const before = known.get(key);
		const until = clock.now() + Math.min(keepMs, MAX_KEEP_MS);
		const isOther =
			before !== undefined &&
			(before.origin.service !== service ||
				before.origin.softwareVersion !== softwareVersion);
		known.delete(key);
		known.set(key, {
			origin: {service, softwareVersion},
			until: Math.max(until, before?.until ?? 0),
		});
		return (
			before === undefined ||
			isOther ||
			until - before.until >= MIN_EXTENSION_MS
		);
	};

	return {
		applyReport(origins) {
			const wall = clock.wall();
			origins.forEach((origin) => {
				const [key, service, softwareVersion, keepMs] = origin;
				if (record(origin) && reported.length < MAX_REPORTED) {
					reported.push([key, service, softwareVersion, wall + keepMs]);
				}
			});
			removeExpired();
		},
		restore(origins) {
			const wall = clock.wall();
			origins.forEach(([key, service, softwareVersion, until]) => {
				record([key, service, softwareVersion, until - wall]);
			});
			removeExpired();
		},
		find: (key) => known.get(key)?.origin,
		takeReported() {
			const taken = reported;
			reported = [];
			return taken;
		},
		count: () => known.size,
	};
}
