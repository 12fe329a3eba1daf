import {
	type BackendRecord,
	isOriginDoubtful,
	type OriginReport,
	parseIncarnationKey,
	type StreamBeginning,
	type StreamOrigin,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';
import type {StoredOrigin} from './origin-log.js';

/** Origins of streams as the entries report them. */
export type OriginRegistry = Readonly<{
	applyReport: (origins: readonly OriginReport[]) => void;
	/** Adds origins that were known before a restart. */
	restore: (origins: readonly StoredOrigin[]) => void;
	/** Finds the origin of a stream, given the latest registrations by id. */
	find: (key: string, findBackend: FindBackend) => OriginFinding;
	/** Returns the origins that were reported since the last call. */
	takeReported: () => readonly StoredOrigin[];
	count: () => number;
}>;

type FindBackend = (id: string) => BackendRecord | undefined;

/** What is known about the origin of a stream. */
export type OriginFinding =
	| Readonly<{
			kind: 'found';
			origin: StreamOrigin;
			beginning: StreamBeginning | undefined;
	  }>
	| Readonly<{kind: 'unknown'}>
	/** Two were reported, or the backend server may have been of another version. */
	| Readonly<{kind: 'ambiguous'}>;

type KnownOrigin = Readonly<{
	origin: StreamOrigin;
	/** End of the time in which the caller may resume, in monotonic milliseconds. */
	until: number;
	isAmbiguous: boolean;
	/** Absent if no report or file says it. */
	beginning?: StreamBeginning;
}>;

/** Limit of the origins in memory, about 50 MB; the oldest are dropped first. */
const MAX_ORIGINS = 200_000;
/** Limit of the origins that wait to be stored; further ones aren't. */
const MAX_REPORTED = 50_000;
/** Longest time for which an origin is kept. */
const MAX_KEEP_MS = 900_000;
/** An origin that is reported again is stored again if it is kept for this much longer. */
const MIN_EXTENSION_MS = 1000;

function describeBeginning(
	incarnation: string | undefined,
	now: number,
	ageMs: number | undefined,
): readonly [incarnation?: string, begunAt?: number] {
	return incarnation === undefined || ageMs === undefined
		? []
		: [incarnation, now - ageMs];
}

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
		incarnation,
		ageMs,
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
			isAmbiguous: isOther || before?.isAmbiguous === true,
			beginning:
				incarnation === undefined || ageMs === undefined
					? before?.beginning
					: {incarnation, at: clock.wall() - ageMs},
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
				const [key, service, softwareVersion, keepMs, incarnation, ageMs] =
					origin;
				if (record(origin) && reported.length < MAX_REPORTED) {
					reported.push([
						key,
						service,
						softwareVersion,
						wall + keepMs,
						...describeBeginning(incarnation, wall, ageMs),
					]);
				}
			});
			removeExpired();
		},
		restore(origins) {
			const wall = clock.wall();
			origins.forEach(
				([key, service, softwareVersion, until, incarnation, begunAt]) => {
					record([
						key,
						service,
						softwareVersion,
						until - wall,
						incarnation,
						begunAt === undefined ? undefined : wall - begunAt,
					]);
				},
			);
			removeExpired();
		},
		find(key, findBackend) {
			const found = known.get(key);
			if (found === undefined) {
				return {kind: 'unknown'};
			}

			const {origin, beginning, isAmbiguous} = found;
			const isDoubtful =
				beginning !== undefined &&
				isOriginDoubtful(
					origin,
					beginning,
					findBackend(parseIncarnationKey(beginning.incarnation).id),
				);
			return isAmbiguous || isDoubtful
				? {kind: 'ambiguous'}
				: {kind: 'found', origin, beginning};
		},
		takeReported() {
			const taken = reported;
			reported = [];
			return taken;
		},
		count: () => known.size,
	};
}
