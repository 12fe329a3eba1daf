import {isWindowOver, listCountedDigests} from './deaths.js';
import type {Death, QuarantineState, StrikeRecord} from './types.js';

const NO_STRIKES: StrikeRecord = {strikes: 0, lastAt: 0};

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

function evaluateDeath(state: QuarantineState, death: Death): QuarantineState {
	const countedDigests = listCountedDigests(state, death);
	const updated = countedDigests.map((digest): [string, StrikeRecord] => [
		digest,
		{
			strikes: (state.records[digest] ?? NO_STRIKES).strikes + 1,
			lastAt: state.now,
		},
	]);
	const records = {...state.records, ...Object.fromEntries(updated)};
	const verdict = countedDigests.length > 0 ? 'struck' : 'forgiven';
	const deaths = state.deaths.map((other): Death =>
		other === death ? {...death, verdict} : other,
	);
	const next = {...state, records, deaths};
	const convictedDigests = countedDigests.filter((digest) =>
		shouldConvict(next, digest),
	);
	return addConvictions(next, convictedDigests);
}

function countStrikes(state: QuarantineState, digest: string): number {
	return (state.records[digest] ?? NO_STRIKES).strikes;
}

function shouldConvict(state: QuarantineState, digest: string): boolean {
	const {strikes, guards} = state.options;
	return (
		countStrikes(state, digest) >= strikes &&
		(!guards.standsOut || hasRequiredLead(state, digest))
	);
}

/** Whether all other digests of the same deaths have at least `lead` fewer strikes. */
function hasRequiredLead(state: QuarantineState, digest: string): boolean {
	const limit = countStrikes(state, digest) - state.options.lead;
	return state.deaths
		.filter(({digests}) => digests.includes(digest))
		.flatMap(({digests}) => digests)
		.every((other) => other === digest || countStrikes(state, other) <= limit);
}

function addConvictions(
	state: QuarantineState,
	digests: readonly string[],
): QuarantineState {
	const convictions = digests.map((digest) => [digest, state.now] as const);
	const records = Object.entries(state.records).filter(
		([digest]) => !digests.includes(digest),
	);
	return digests.length === 0
		? state
		: {
				...state,
				records: Object.fromEntries(records),
				convicted: {...state.convicted, ...Object.fromEntries(convictions)},
			};
}
