import type {GenerationEffect} from '@lovagevalve/generation';
import {CANCEL_RETRY_MS} from './abandoned-attempts.js';
import type {EntryEffect} from './effects.js';
import {publishLocation} from './generation-locations.js';
import {createLocation, type EntryState, type Stream} from './state.js';
import {createStreamRecord} from './stream-records.js';
import {chain, transition, type EntryTransition} from './transition.js';

/** Starts an attempt and publishes its location to the request's home entries. */
export function startAttempt(
	state: EntryState,
	stream: Stream,
	effect: Extract<GenerationEffect, {kind: 'start'}>,
	now: number,
): EntryTransition {
	const {attempt, connection, prefixLength, backend} = effect;
	const effects: readonly EntryEffect[] = [
		{
			kind: 'start-attempt',
			stream: stream.id,
			address: stream.backend?.address ?? '',
			backend,
			generation: stream.generation,
			attempt,
			connection,
			prefixLength,
			model: stream.model,
			priority: stream.priority,
		},
		...(prefixLength > 0
			? [
					createStreamRecord(stream, {
						kind: 'extra-used',
						amount: prefixLength,
						cause: 'recomputed-prefill',
					}),
				]
			: []),
	];
	const started = {...stream, isAdopted: false};
	const next = {...state, streams: state.streams.set(stream.id, started)};
	return chain(transition(next, effects), (after) =>
		publishLocation(after, createLocation(after, started), now),
	);
}

/** Cancels an attempt that the generation no longer uses. */
export function cancelAttempt(
	state: EntryState,
	stream: Stream,
	attempt: number,
): EntryTransition {
	const {generation, backend} = stream;
	if (!backend) {
		return transition(state);
	}

	const {address} = backend;
	return transition(state, [
		{
			kind: 'cancel-attempt',
			address,
			generation,
			attempt,
			giveUpAfterMs: CANCEL_RETRY_MS,
		},
	]);
}
