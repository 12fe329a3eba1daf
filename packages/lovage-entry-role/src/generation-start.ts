import {createGeneration, getDetectionPolicy} from '@lovagevalve/generation';
import {releaseAbandoned} from './abandoned-attempts.js';
import type {EntryEffect} from './effects.js';
import {applyGenerationStep} from './stream-generation.js';
import type {StepContext} from './step-context.js';
import {publishLocation} from './generation-locations.js';
import {createLocation, type EntryState, type Stream} from './state.js';
import {chain, transition, type EntryTransition} from './transition.js';
import {adjustInFlight} from './view.js';

const RETRY_LIMIT = 8;
/** Number of attempt-number ranges that an adopting entry chooses from. */
const ADOPTION_RANGES = 1_000_000;

/** A generation that was started for an earlier stream. */
export type AdoptedGeneration = Readonly<{
	generation: string;
	backend: string;
	attempt: number;
	entry: string;
	offset: number;
}>;

function releaseAtPreviousEntry(
	state: EntryState,
	adopted: AdoptedGeneration,
): readonly EntryEffect[] {
	const {entry, generation} = adopted;
	const other = state.lease.entries.find((peer) => peer.id === entry);
	if (!other || entry === state.options.id) {
		return [];
	}

	const {address} = other;
	return [{kind: 'release-generation', address, generation}];
}

/**
 * Draws the number of the next attempt of an adopted generation. It is above
 * any number that the previous entry may still use, and its range is random so
 * that two adopting entries are unlikely to use the same number.
 */
function drawNextAttemptNumber(attempt: number, random: number): number {
	const attemptsPerRange = RETRY_LIMIT + 1;
	const range = 1 + Math.floor(random * ADOPTION_RANGES);
	return attempt + range * attemptsPerRange;
}

/** Continues a generation that was started for an earlier stream. */
export function adoptGeneration(
	state: EntryState,
	stream: Stream,
	adopted: AdoptedGeneration,
	context: StepContext,
): EntryTransition {
	const {generation, backend, attempt, offset} = adopted;
	const created = createGeneration(
		{
			id: generation,
			policy: getPolicy(state, stream),
			retryLimit: RETRY_LIMIT,
			start: {
				kind: 'adopt',
				backend,
				attempt,
				offset,
				prefixAvailable: offset === 0 || stream.input.hasDelivered,
				nextAttempt: drawNextAttemptNumber(attempt, context.random),
			},
		},
		context.now,
	);
	const announcement = state.view.get(backend)?.announcement;
	const running: Stream = {
		...stream,
		phase: {kind: 'running'},
		backend: {
			id: backend,
			address: announcement?.address ?? '',
			incarnation: announcement?.incarnation ?? 0,
		},
		hasDeliveredTokens: offset > 0,
		isAdopted: true,
	};
	const released = releaseAbandoned(state, generation);
	const next: EntryState = {
		...released,
		view: adjustInFlight(released.view, backend, 1),
	};
	return chain(
		transition(next, releaseAtPreviousEntry(state, adopted)),
		(current) =>
			chain(applyGenerationStep(current, running, created, context), (after) =>
				publishLocation(after, createLocation(after, running), context.now),
			),
	);
}

function getPolicy(state: EntryState, stream: Stream) {
	const objective = state.lease.configuration?.rules.objectives.find(
		({service}) => service === stream.input.service,
	);
	return getDetectionPolicy(objective?.weighs ?? 'resume-latency');
}

/** Starts a new generation for a stream. */
export function startGeneration(
	state: EntryState,
	stream: Stream,
	context: StepContext,
): EntryTransition {
	const created = createGeneration(
		{
			id: stream.generation,
			policy: getPolicy(state, stream),
			retryLimit: RETRY_LIMIT,
			start: {kind: 'new'},
		},
		context.now,
	);
	return applyGenerationStep(state, stream, created, context);
}
