import type {BackendRecord} from './backend-table.js';
import {FLOODING_AVOID_MS, type ExchangeOutcome} from './backend-health.js';
import {createIncarnationKey, parseIncarnationKey} from './incarnation.js';

/** Milliseconds since an entry met each flooding backend server, by incarnation as `id/bornAt`. */
export type FloodReports = Readonly<Record<string, number>>;

/** When a flooding backend server was met, in monotonic milliseconds, by incarnation. */
export type FloodTimes = ReadonlyMap<string, number>;

/** What the entries told a control instance, by incarnation. */
export type ToldFloods = ReadonlyMap<
	string,
	Readonly<{
		/** Entry that met the backend server last. */
		teller: string;
		/** When it did, in monotonic milliseconds. */
		at: number;
	}>
>;

/** A backend server in use of one service. */
export type FloodCandidate = Readonly<{
	/** Identifies the incarnation. */
	key: string;
	/** Whether this entry avoids it for what it met itself. */
	isAvoided: boolean;
}>;

type FindBackend = (id: string) => BackendRecord | undefined;

/** Floods that are told of at once, over all entries. */
export const MAX_TOLD = 64;
/** Floods that one entry tells of, so that it can't fill the list of all. */
export const MAX_TOLD_BY_ONE = 16;
/** Time for which two reports may be on their way, each up to its time limit of 0.8 s. */
const TRAVEL_MS = 2000;
/** Age at which a flood is told no more, so that nobody avoids the server after the entry that met it. */
export const MAX_TOLD_AGE_MS = FLOODING_AVOID_MS - TRAVEL_MS;
/** Share of the backend servers in use of a service that may be avoided for what others tell. */
const MAX_AVOIDED_SHARE = 0.5;

function isTellable(ageMs: unknown): ageMs is number {
	return typeof ageMs === 'number' && ageMs >= 0 && ageMs < MAX_TOLD_AGE_MS;
}

/** Keeps the newest ones. */
function keepNewest(
	floods: ReadonlyArray<readonly [key: string, at: number]>,
	count: number,
): ReadonlyArray<readonly [key: string, at: number]> {
	return floods.toSorted(([, a], [, b]) => b - a).slice(0, count);
}

function toReports(
	floods: ReadonlyArray<readonly [key: string, at: number]>,
	now: number,
): FloodReports {
	// Rounded up, so that no flood grows younger on its way.
	return Object.fromEntries(
		floods.map(([key, at]) => [key, Math.ceil(now - at)]),
	);
}

/** Whether a key is that of an incarnation that is registered and not gone. */
function isKnown(key: string, find: FindBackend): boolean {
	const record = find(parseIncarnationKey(key).id);
	return (
		record !== undefined &&
		record.state !== 'gone' &&
		createIncarnationKey(record) === key
	);
}

/** Decodes floods that another instance tells of, perhaps of another build; undefined if it tells nothing that can be read. */
export function decodeFloods(value: unknown): FloodReports | undefined {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return undefined;
	}

	return Object.fromEntries(
		Object.entries(value).filter((entry): entry is [string, number] =>
			isTellable(entry[1]),
		),
	);
}

/** Applies the outcome of an exchange at this entry; an answer ends what it tells, as it ends the avoidance. */
export function recordFlood(
	met: FloodTimes,
	key: string,
	outcome: ExchangeOutcome,
	now: number,
): FloodTimes {
	switch (outcome) {
		case 'flooded': {
			const others = [...met].filter(
				([other, at]) => other !== key && isTellable(now - at),
			);
			return new Map(keepNewest([[key, now], ...others], MAX_TOLD_BY_ONE));
		}

		case 'answered': {
			return met.has(key)
				? new Map([...met].filter(([other]) => other !== key))
				: met;
		}

		case 'failed':
		case 'unreachable': {
			return met;
		}
	}
}

/** What an entry tells of the floods that it met itself. */
export function describeMetFloods(met: FloodTimes, now: number): FloodReports {
	return toReports(
		[...met].filter(([, at]) => isTellable(now - at)),
		now,
	);
}

/** Replaces what an entry told a control instance. */
export function applyTelling(
	told: ToldFloods,
	telling: Readonly<{teller: string; floods: FloodReports}>,
	find: FindBackend,
	now: number,
): ToldFloods {
	const {teller, floods} = telling;
	const others = [...told].filter(
		([key, flood]) =>
			flood.teller !== teller &&
			isTellable(now - flood.at) &&
			isKnown(key, find),
	);
	const merged = new Map(others);
	const named = Object.entries(floods)
		.filter(([key, ageMs]) => isTellable(ageMs) && isKnown(key, find))
		.map(([key, ageMs]) => [key, now - ageMs] as const);
	keepNewest(named, MAX_TOLD_BY_ONE).forEach(([key, at]) => {
		if (at > (merged.get(key)?.at ?? Number.NEGATIVE_INFINITY)) {
			merged.set(key, {teller, at});
		}
	});
	return new Map(
		[...merged].toSorted(([, a], [, b]) => b.at - a.at).slice(0, MAX_TOLD),
	);
}

/** What a control instance tells an entry of the floods that others met. */
export function describeTold(
	told: ToldFloods,
	entry: string,
	now: number,
): FloodReports {
	return toReports(
		[...told]
			.filter(([, {teller, at}]) => teller !== entry && isTellable(now - at))
			.map(([key, {at}]) => [key, at]),
		now,
	);
}

/** What an entry hears; it replaces what it heard before, so that what nobody tells any more is over. */
export function hearFloods(
	floods: FloodReports,
	find: FindBackend,
	now: number,
): FloodTimes {
	const named = Object.entries(floods)
		.filter(([key, ageMs]) => isTellable(ageMs) && isKnown(key, find))
		.map(([key, ageMs]) => [key, now - ageMs] as const);
	return new Map(keepNewest(named, MAX_TOLD));
}

/**
 * Chooses the backend servers of a service that are avoided for what other entries
 * told. At least half of those in use stay, whatever is told, as it can't be
 * checked; those that this entry avoids itself count first, then the newest floods.
 */
export function listAvoidedAsTold(
	candidates: readonly FloodCandidate[],
	heard: FloodTimes,
	now: number,
): ReadonlySet<string> {
	const avoidedCount = candidates.filter(({isAvoided}) => isAvoided).length;
	const maxAvoided = Math.floor(candidates.length * MAX_AVOIDED_SHARE);
	const named = candidates
		.filter(({isAvoided}) => !isAvoided)
		.flatMap(({key}) => {
			const at = heard.get(key);
			return at !== undefined && isTellable(now - at)
				? [[key, at] as const]
				: [];
		});
	return new Set(
		keepNewest(named, Math.max(0, maxAvoided - avoidedCount)).map(
			([key]) => key,
		),
	);
}
