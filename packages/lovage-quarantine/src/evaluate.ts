import {
	isExplained,
	isWindowOver,
	listCountedDigests,
	listCountedParts,
	listKeys,
} from './deaths.js';
import {isPartKey} from './part-key.js';
import type {Death, QuarantineState, StrikeRecord} from './types.js';

const NO_STRIKES: StrikeRecord = {strikes: 0, lastAt: 0};
/** Different requests that must have crashed backend servers before a part is to blame. */
const MIN_REQUESTS = 2;
/** Limit of the times that tell which deaths are one event, where parts are not reported. */
const MAX_DEATH_TIMES = 8;
/** Strikes from which on a narrower part may account for deaths under a broader one. */
const MIN_NARROWER_STRIKES = 2;
/** Difference in breadth that doesn't come about by chance at a few deaths. */
const BREADTH_MARGIN = 0.4;

/** Evaluates pending deaths whose window has passed, in the order of their reports. */
export function evaluateDueDeaths(state: QuarantineState): QuarantineState {
	return state.deaths
		.filter((death) => isWindowOver(state, death))
		.reduce((current, death) => evaluateDeath(current, death), state);
}

/** Evaluates all pending deaths as if their windows had passed. */
export function evaluatePendingDeaths(state: QuarantineState): QuarantineState {
	return state.deaths
		.filter(({verdict}) => verdict === 'pending')
		.reduce((current, death) => evaluateDeath(current, death), state);
}

function setVerdict(
	state: QuarantineState,
	death: Death,
	verdict: Death['verdict'],
): QuarantineState {
	return {
		...state,
		deaths: state.deaths.map((other) =>
			other === death ? {...death, verdict} : other,
		),
	};
}

function addStrike(
	state: QuarantineState,
	key: string,
	{parts, reportedAt}: Death,
): StrikeRecord {
	const record = state.records[key] ?? NO_STRIKES;
	const deathTimes = [...(record.deathTimes ?? []), reportedAt];
	const counted = {strikes: record.strikes + 1, lastAt: state.now};
	if (parts === undefined) {
		return {...counted, deathTimes: deathTimes.slice(-MAX_DEATH_TIMES)};
	}

	const requests = new Set([...(record.requests ?? []), ...(parts[key] ?? [])]);
	return {
		...record,
		...counted,
		deathTimes,
		...(isPartKey(key) ? {requests: [...requests].slice(0, MIN_REQUESTS)} : {}),
	};
}

function evaluateDeath(state: QuarantineState, death: Death): QuarantineState {
	if (isExplained(state, death)) {
		return setVerdict(state, death, 'forgiven');
	}

	const counted = [
		...listCountedDigests(state, death),
		...listCountedParts(state, death),
	];
	const updated = counted.map((key): [string, StrikeRecord] => [
		key,
		addStrike(state, key, death),
	]);
	const records = {...state.records, ...Object.fromEntries(updated)};
	const next = setVerdict(
		{...state, records},
		death,
		counted.length > 0 ? 'struck' : 'forgiven',
	);
	const convicted = counted.filter((key) => shouldConvict(next, key));
	const {uncertainStrikes: minStrikes = Number.POSITIVE_INFINITY} =
		state.options;
	const partRivals = counted
		.filter((key) => isPartKey(key) && countStrikes(next, key) >= minStrikes)
		.flatMap((key) => listRivals(next, key));
	// The narrowest of parts that crash by turns may not be on this death.
	const uncertain = [...new Set([...counted, ...partRivals])].filter(
		(key) => !convicted.includes(key) && isUncertainCause(next, key),
	);
	return addUncertain(addConvictions(next, convicted), uncertain);
}

function countStrikes(state: QuarantineState, key: string): number {
	return (state.records[key] ?? NO_STRIKES).strikes;
}

function hasEnoughRequests(state: QuarantineState, key: string): boolean {
	const {requests = []} = state.records[key] ?? NO_STRIKES;
	return !isPartKey(key) || requests.length >= MIN_REQUESTS;
}

/** Strikes for a conviction; parts that have run soundly before need more. */
function readRequiredStrikes(state: QuarantineState, key: string): number {
	const {strikes, uncertainStrikes = strikes} = state.options;
	return wasSound(state, key) ? uncertainStrikes : strikes;
}

function wasSound({records}: QuarantineState, key: string): boolean {
	return records[key]?.soundAt !== undefined;
}

function shouldConvict(state: QuarantineState, key: string): boolean {
	return (
		countStrikes(state, key) >= readRequiredStrikes(state, key) &&
		hasEnoughRequests(state, key) &&
		(!state.options.guards.standsOut ||
			(isPartKey(key)
				? countUnexplained(state, key) >= readRequiredStrikes(state, key)
				: hasRequiredLead(state, key)))
	);
}

/** Why deaths convict a suspect, or don't. */
export type VerdictReason =
	| 'no suspect'
	| 'convicted'
	| 'convicted before'
	| 'too few events'
	| 'too few events for what has run soundly'
	| 'too few requests with the part'
	| 'others may be to blame';

function findVerdictReason(
	before: QuarantineState,
	after: QuarantineState,
	key: string,
): VerdictReason {
	const isIn = ({convicted, uncertain = {}}: QuarantineState): boolean =>
		convicted[key] !== undefined || uncertain[key] !== undefined;
	if (isIn(after)) {
		return isIn(before) ? 'convicted before' : 'convicted';
	}

	if (countStrikes(after, key) < readRequiredStrikes(after, key)) {
		return wasSound(after, key)
			? 'too few events for what has run soundly'
			: 'too few events';
	}

	return hasEnoughRequests(after, key)
		? 'others may be to blame'
		: 'too few requests with the part';
}

/** Describes what a step has made of a suspect. */
export function describeVerdict(
	before: QuarantineState,
	after: QuarantineState,
	key: string | undefined,
): Readonly<{strikes: number; required: number; reason: VerdictReason}> {
	return key === undefined
		? {strikes: 0, required: after.options.strikes, reason: 'no suspect'}
		: {
				strikes: countStrikes(after, key),
				required: readRequiredStrikes(after, key),
				reason: findVerdictReason(before, after, key),
			};
}

/** Whether another part accounts for a death under a part as well as this one does. */
function isAlternative(
	state: QuarantineState,
	other: string,
	key: string,
): boolean {
	const isKnownSound = wasSound(state, other) && !wasSound(state, key);
	if (
		other === key ||
		!isPartKey(other) ||
		isKnownSound ||
		isBroader(state, other, key)
	) {
		return false;
	}

	return (
		countStrikes(state, other) >
			countStrikes(state, key) - state.options.lead ||
		isNarrowerAlternative(state, other, key)
	);
}

/** Several narrower parts can account for all deaths under a common one. */
function isNarrowerAlternative(
	state: QuarantineState,
	other: string,
	key: string,
): boolean {
	return (
		countStrikes(state, other) >= MIN_NARROWER_STRIKES &&
		isBroader(state, key, other)
	);
}

/** Strikes of a part for which no other part on the same backend server accounts. */
function countUnexplained(state: QuarantineState, key: string): number {
	const {deathTimes = []} = state.records[key] ?? NO_STRIKES;
	return state.deaths.filter((death) => {
		const keys = listKeys(death);
		return (
			deathTimes.includes(death.reportedAt) &&
			keys.includes(key) &&
			!keys.some((other) => isAlternative(state, other, key))
		);
	}).length;
}

/** Number of requests with a part on the backend servers that died under it. */
function countLostRequests({deaths}: QuarantineState, key: string): number {
	return deaths.reduce(
		(sum, {parts = {}}) => sum + (parts[key]?.length ?? 0),
		0,
	);
}

/**
 * Mean number of requests with a part on a backend server that died under it.
 * Each run with a guilty part ends its backend server, so there is hardly more than
 * one, while a common part is on most of the requests that were lost with it.
 */
function measureBreadth(state: QuarantineState, key: string): number {
	const {deaths} = state;
	const count = deaths.filter(
		({parts = {}}) => parts[key] !== undefined,
	).length;
	return countLostRequests(state, key) / count;
}

/**
 * Lists the causes of the same kind that were present at the same deaths. Those
 * that have run soundly before are no rivals of one that never has.
 */
function listRivals(state: QuarantineState, key: string): readonly string[] {
	const isPart = isPartKey(key);
	const isNew = !wasSound(state, key);
	const present = state.deaths
		.map((death) => listKeys(death))
		.filter((keys) => keys.includes(key))
		.flat();
	return [...new Set(present)].filter(
		(other) =>
			other !== key &&
			isPartKey(other) === isPart &&
			!(isNew && wasSound(state, other)),
	);
}

/** Whether another part is on clearly more requests that were lost together. */
function isBroader(
	state: QuarantineState,
	other: string,
	key: string,
): boolean {
	return (
		isPartKey(key) &&
		measureBreadth(state, other) > measureBreadth(state, key) + BREADTH_MARGIN
	);
}

/** Whether all others of the same deaths have at least `lead` fewer strikes or are broader. */
function hasRequiredLead(state: QuarantineState, key: string): boolean {
	const limit = countStrikes(state, key) - state.options.lead;
	return listRivals(state, key).every(
		(other) =>
			countStrikes(state, other) <= limit || isBroader(state, other, key),
	);
}

/** Whether a part is on fewer of the lost requests; equal ones go by their keys. */
function isNarrower(
	state: QuarantineState,
	key: string,
	other: string,
): boolean {
	const difference =
		countLostRequests(state, key) - countLostRequests(state, other);
	return difference < 0 || (difference === 0 && key < other);
}

/**
 * Whether a part has so many strikes that it is refused although others may be to
 * blame. Of those that were always together, only the narrowest is: it is on each
 * request that crashed a backend server, and the others may be on all sound ones.
 */
function isUncertainCause(state: QuarantineState, key: string): boolean {
	const {
		lead,
		uncertainStrikes = Number.POSITIVE_INFINITY,
		soundReportMs = 0,
	} = state.options;
	const {strikes, deathTimes = []} = state.records[key] ?? NO_STRIKES;
	const required = uncertainStrikes * (wasSound(state, key) ? 2 : 1);
	return (
		isPartKey(key) &&
		strikes >= required &&
		state.now - Math.min(...deathTimes) >= soundReportMs &&
		hasEnoughRequests(state, key) &&
		listRivals(state, key)
			.filter(
				(other) =>
					(countStrikes(state, other) > strikes - lead ||
						isNarrowerAlternative(state, other, key)) &&
					hasEnoughRequests(state, other),
			)
			.every((other) => isNarrower(state, key, other))
	);
}

function removeKeys<Value>(
	values: Readonly<Record<string, Value>>,
	keys: readonly string[],
): Readonly<Record<string, Value>> {
	return Object.fromEntries(
		Object.entries(values).filter(([key]) => !keys.includes(key)),
	);
}

function addConvictions(
	state: QuarantineState,
	keys: readonly string[],
): QuarantineState {
	const convictions = keys.map((key) => [key, state.now] as const);
	return keys.length === 0
		? state
		: forgiveExplained(
				{
					...state,
					records: removeKeys(state.records, keys),
					convicted: {
						...state.convicted,
						...Object.fromEntries(convictions),
					},
				},
				keys.filter((key) => isPartKey(key)),
			);
}

function addUncertain(
	state: QuarantineState,
	keys: readonly string[],
): QuarantineState {
	const convictions = keys.map((key): [string, StrikeRecord] => [
		key,
		state.records[key] ?? NO_STRIKES,
	]);
	return keys.length === 0
		? state
		: forgiveExplained(
				{
					...state,
					records: removeKeys(state.records, keys),
					uncertain: {
						...state.uncertain,
						...Object.fromEntries(convictions),
					},
				},
				keys,
			);
}

/** Removes the deaths that convicted parts have caused from the records of all others. */
function forgiveExplained(
	state: QuarantineState,
	parts: readonly string[],
): QuarantineState {
	return state.deaths
		.filter((death) => listKeys(death).some((key) => parts.includes(key)))
		.reduce(
			(current, death) =>
				listKeys(death).reduce(
					(records, key) =>
						removeStrikes(records, key, (time) => time === death.reportedAt),
					current,
				),
			state,
		);
}

/** Removes strikes from a record by the times of their deaths. */
export function removeStrikes(
	state: QuarantineState,
	key: string,
	isRemoved: (time: number) => boolean,
): QuarantineState {
	const record = state.records[key];
	if (record?.deathTimes === undefined) {
		return state;
	}

	const deathTimes = record.deathTimes.filter((time) => !isRemoved(time));
	const isEmpty = deathTimes.length === 0 && record.soundAt === undefined;
	const records = isEmpty
		? removeKeys(state.records, [key])
		: {
				...state.records,
				[key]: {...record, strikes: deathTimes.length, deathTimes},
			};
	return {...state, records};
}
