import {isDue, listStruck} from './deaths.js';
import type {Death, QuarantineState, StrikeRecord} from './types.js';

const NO_STRIKES: StrikeRecord = {strikes: 0, alone: 0, lastAt: 0};

/** Judges the deaths whose window has passed, oldest first. */
export function judgeDue(state: QuarantineState): QuarantineState {
	return state.deaths
		.filter((death) => isDue(state, death))
		.reduce((current, death) => judge(current, death), state);
}

/** Judges every death as if its window had passed. */
export function judgeAll(state: QuarantineState): QuarantineState {
	return state.deaths
		.filter(({verdict}) => verdict === 'pending')
		.reduce((current, death) => judge(current, death), state);
}

function judge(state: QuarantineState, death: Death): QuarantineState {
	const struck = listStruck(state, death);
	const isAlone = countSuspects(state, death) === 1;
	const updated = struck.map((digest): [string, StrikeRecord] => {
		const known = state.records[digest];
		return [digest, strike(known, isAlone, state.now)];
	});
	const records = {...state.records, ...Object.fromEntries(updated)};
	const guilty = updated
		.filter(([, record]) => isGuilty(state, record))
		.map(([digest]) => digest);
	const verdict = struck.length > 0 ? 'struck' : 'forgiven';
	const deaths = state.deaths.map((other): Death =>
		other === death ? {...death, verdict} : other,
	);
	return convict({...state, records, deaths}, guilty);
}

/** Digests on a death that were under suspicion when it came. */
function countSuspects(state: QuarantineState, death: Death): number {
	const earlier = state.deaths.filter(
		(other) =>
			other.verdict === 'pending' &&
			other !== death &&
			other.reportedAt <= death.reportedAt,
	);
	return death.digests.filter(
		(digest) =>
			state.records[digest] !== undefined ||
			earlier.some(({digests}) => digests.includes(digest)),
	).length;
}

function strike(
	known: StrikeRecord | undefined,
	isAlone: boolean,
	now: number,
): StrikeRecord {
	const {strikes, alone} = known ?? NO_STRIKES;
	return {
		strikes: strikes + 1,
		alone: alone + (isAlone && known !== undefined ? 1 : 0),
		lastAt: now,
	};
}

function isGuilty(state: QuarantineState, record: StrikeRecord): boolean {
	const {strikes, alone, guards} = state.options;
	return (
		record.strikes >= strikes && (!guards.aloneOnly || record.alone >= alone)
	);
}

function convict(
	state: QuarantineState,
	guilty: readonly string[],
): QuarantineState {
	const convictions = guilty.map((digest) => [digest, state.now] as const);
	const records = Object.entries(state.records).filter(
		([digest]) => !guilty.includes(digest),
	);
	return guilty.length === 0
		? state
		: {
				...state,
				records: Object.fromEntries(records),
				convicted: {...state.convicted, ...Object.fromEntries(convictions)},
			};
}
