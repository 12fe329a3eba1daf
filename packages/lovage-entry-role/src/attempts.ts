import type {GenerationEffect} from '@lovagevalve/generation';
import {CANCEL_FOR_MS} from './abandoned.js';
import type {EntryEffect} from './effects.js';
import {publishPlace} from './places.js';
import {describePlace, type EntryState, type Stream} from './state.js';
import {recordStream} from './stream-facts.js';
import {chain, transition, type EntryTransition} from './transition.js';

/** Starts an attempt and tells the homes of the request. */
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
					recordStream(stream, {
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
		publishPlace(after, describePlace(after, started), now),
	);
}

/** Cancels an attempt that is left behind. */
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
			giveUpAfterMs: CANCEL_FOR_MS,
		},
	]);
}
