import type {EntryState, Stream} from './state.js';
import {chainEach, transition, type EntryTransition} from './transition.js';
import {countInFlight} from './view.js';

/** How long a backend server is asked to cancel an attempt. */
export const CANCEL_FOR_MS = 120_000;

/**
 * Keeps the attempt of a caller that left. It still runs, so it stays counted
 * as work on its backend server.
 */
export function abandonStream(
	state: EntryState,
	stream: Stream,
	now: number,
): EntryState {
	const {machine, backend, generation} = stream;
	const streams = state.streams.delete(stream.id);
	if (!machine || !backend) {
		return {...state, streams};
	}

	const abandoned = state.abandoned.set(generation, {
		generation,
		attempt: machine.attempt,
		backend,
		expiresAt: now + state.options.callerGraceMs,
	});
	return {...state, streams, abandoned};
}

/** Lets go of an abandoned attempt without cancelling it. */
export function releaseAbandoned(
	state: EntryState,
	generation: string,
): EntryState {
	const found = state.abandoned.get(generation);
	return found
		? {
				...state,
				view: countInFlight(state.view, found.backend.id, -1),
				abandoned: state.abandoned.delete(generation),
			}
		: state;
}

/** Cancels the attempts whose callers stayed away. */
export function cancelAbandoned(
	state: EntryState,
	now: number,
): EntryTransition {
	const due = [...state.abandoned.values()].filter(
		({expiresAt}) => expiresAt <= now,
	);
	return chainEach(state, due, (next, {generation, attempt, backend}) =>
		transition(releaseAbandoned(next, generation), [
			{
				kind: 'cancel-attempt',
				address: backend.address,
				generation,
				attempt,
				giveUpAfterMs: CANCEL_FOR_MS,
			},
		]),
	);
}
