import type {EntryState, Stream} from './state.js';
import {chainEach, transition, type EntryTransition} from './transition.js';
import {adjustInFlight} from './view.js';

/** How long an unanswered cancel request is retried. */
export const CANCEL_RETRY_MS = 120_000;

/**
 * Keeps the attempt of a caller that disconnected. It is still running, so it
 * still counts as in flight on its backend server.
 */
export function abandonStream(
	state: EntryState,
	stream: Stream,
	now: number,
): EntryState {
	const {generationState, backend, generation} = stream;
	const streams = state.streams.delete(stream.id);
	if (!generationState || !backend) {
		return {...state, streams};
	}

	const abandonedAttempts = state.abandonedAttempts.set(generation, {
		generation,
		attempt: generationState.attempt,
		backend,
		expiresAt: now + state.options.callerGraceMs,
	});
	return {...state, streams, abandonedAttempts};
}

/** Stops tracking an abandoned attempt without cancelling it. */
export function releaseAbandoned(
	state: EntryState,
	generation: string,
): EntryState {
	const abandoned = state.abandonedAttempts.get(generation);
	return abandoned
		? {
				...state,
				view: adjustInFlight(state.view, abandoned.backend.id, -1),
				abandonedAttempts: state.abandonedAttempts.delete(generation),
			}
		: state;
}

/** Cancels the attempts whose callers did not reconnect in time. */
export function cancelAbandoned(
	state: EntryState,
	now: number,
): EntryTransition {
	const due = [...state.abandonedAttempts.values()].filter(
		({expiresAt}) => expiresAt <= now,
	);
	return chainEach(state, due, (next, {generation, attempt, backend}) =>
		transition(releaseAbandoned(next, generation), [
			{
				kind: 'cancel-attempt',
				address: backend.address,
				generation,
				attempt,
				giveUpAfterMs: CANCEL_RETRY_MS,
			},
		]),
	);
}
