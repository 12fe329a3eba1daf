import type {EntryState} from './state.js';
import {transition, type EntryTransition} from './transition.js';

/** Renewals until every entry has stopped naming one that leaves. */
const RENEWALS_UNTIL_UNLISTED = 2;

/** Starts the planned stop: the entry asks not to be named any more. */
export function startDrain(state: EntryState, now: number): EntryTransition {
	if (state.phase.kind !== 'serving') {
		return transition(state);
	}

	return transition(
		{...state, phase: {kind: 'leaving', since: now, isAcknowledged: false}},
		[{kind: 'renew-lease'}],
	);
}

/** Counts the time to the last answer naming this entry from this renewal. */
export function acknowledgeLeaving(
	state: EntryState,
	askedAt: number,
	now: number,
): EntryState {
	const {phase} = state;
	return phase.kind === 'leaving' &&
		!phase.isAcknowledged &&
		askedAt >= phase.since
		? {...state, phase: {kind: 'leaving', since: now, isAcknowledged: true}}
		: state;
}

function isUnlisted(state: EntryState, now: number): boolean {
	const {phase, options} = state;
	if (phase.kind !== 'leaving') {
		return false;
	}

	const waitMs =
		RENEWALS_UNTIL_UNLISTED * options.renewEveryMs + options.addressLifetimeMs;
	return now >= phase.since + waitMs;
}

function isIdle(state: EntryState): boolean {
	return (
		state.streams.size === 0 &&
		state.calls.size === 0 &&
		state.abandonedAttempts.size === 0
	);
}

/** Moves a planned stop on as answers expire and work ends. */
export function continueDrain(state: EntryState, now: number): EntryTransition {
	if (isUnlisted(state, now)) {
		return continueDrain({...state, phase: {kind: 'finishing'}}, now);
	}

	if (state.phase.kind === 'finishing' && isIdle(state)) {
		return transition({...state, phase: {kind: 'drained'}}, [
			{kind: 'drained'},
		]);
	}

	return transition(state);
}
