import {isDue, listStruck} from './deaths.js';
import type {Death, QuarantineState, StrikeRecord} from './types.js';

const NO_STRIKES: StrikeRecord = {strikes: 0, lastAt: 0};

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
	const updated = struck.map((digest): [string, StrikeRecord] => [
		digest,
		{
			strikes: (state.records[digest] ?? NO_STRIKES).strikes + 1,
			lastAt: state.now,
		},
	]);
	const records = {...state.records, ...Object.fromEntries(updated)};
	const verdict = struck.length > 0 ? 'struck' : 'forgiven';
	const deaths = state.deaths.map((other): Death =>
		other === death ? {...death, verdict} : other,
	);
	const next = {...state, records, deaths};
	const guilty = struck.filter((digest) => isGuilty(next, digest));
	return convict(next, guilty);
}

function countStrikes(state: QuarantineState, digest: string): number {
	return (state.records[digest] ?? NO_STRIKES).strikes;
}

function isGuilty(state: QuarantineState, digest: string): boolean {
	const {strikes, guards} = state.options;
	return (
		countStrikes(state, digest) >= strikes &&
		(!guards.standsOut || isStandingOut(state, digest))
	);
}

/** Tells whether every other digest on its deaths was struck far less. */
function isStandingOut(state: QuarantineState, digest: string): boolean {
	const limit = countStrikes(state, digest) - state.options.lead;
	return state.deaths
		.filter(({digests}) => digests.includes(digest))
		.flatMap(({digests}) => digests)
		.every((other) => other === digest || countStrikes(state, other) <= limit);
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
