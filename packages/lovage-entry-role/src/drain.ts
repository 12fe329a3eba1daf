import type {EntryState} from './state.js';
import {transition, type EntryTransition} from './transition.js';

/** Lease renewals until no other entry lists a draining entry any more. */
const RENEWALS_UNTIL_UNLISTED = 2;

/** Starts a drain: renews the lease at once so that other entries stop listing this one. */
export function startDrain(state: EntryState, now: number): EntryTransition {
	if (state.phase.kind !== 'serving') {
		return transition(state);
	}

	return transition(
		{...state, phase: {kind: 'leaving', since: now, isAcknowledged: false}},
		[{kind: 'renew-lease'}],
	);
}

/** Starts the drain timer at the first grant that was requested after the drain began. */
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

/** Advances a drain once cached address lists have expired and work has ended. */
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
