import {createGeneration, getDetectionPolicy} from '@lovagevalve/generation';
import {releaseAbandoned} from './abandoned.js';
import type {EntryEffect} from './effects.js';
import {runMachine} from './machine.js';
import type {Moment} from './moment.js';
import {publishPlace} from './places.js';
import {describePlace, type EntryState, type Stream} from './state.js';
import {chain, transition, type EntryTransition} from './transition.js';
import {countInFlight} from './view.js';

const RETRY_LIMIT = 8;
/** Ranges of attempt numbers that adopters draw from. */
const ADOPTION_TURNS = 1_000_000;

/** A generation that an earlier stream began. */
export type Adopted = Readonly<{
	generation: string;
	backend: string;
	attempt: number;
	entry: string;
	offset: number;
}>;

function releaseElsewhere(
	state: EntryState,
	adopted: Adopted,
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
 * Draws a number for the next attempt of an adopted generation, above those
 * that the entry before may still use and unlike those of another adopter.
 */
function drawNextAttempt(attempt: number, random: number): number {
	const attemptsOfOneEntry = RETRY_LIMIT + 1;
	const turn = 1 + Math.floor(random * ADOPTION_TURNS);
	return attempt + turn * attemptsOfOneEntry;
}

/** Goes on with a generation that an earlier stream began. */
export function adoptGeneration(
	state: EntryState,
	stream: Stream,
	adopted: Adopted,
	moment: Moment,
): EntryTransition {
	const {generation, backend, attempt, offset} = adopted;
	const begun = createGeneration(
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
				nextAttempt: drawNextAttempt(attempt, moment.random),
			},
		},
		moment.now,
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
		hasToken: offset > 0,
		isAdopted: true,
	};
	const released = releaseAbandoned(state, generation);
	const next: EntryState = {
		...released,
		view: countInFlight(released.view, backend, 1),
	};
	return chain(transition(next, releaseElsewhere(state, adopted)), (current) =>
		chain(runMachine(current, running, begun, moment), (after) =>
			publishPlace(after, describePlace(after, running), moment.now),
		),
	);
}

function getPolicy(state: EntryState, stream: Stream) {
	const objective = state.lease.configuration?.rules.objectives.find(
		({service}) => service === stream.input.service,
	);
	return getDetectionPolicy(objective?.weighs ?? 'resume-latency');
}

/** Begins a generation of its own. */
export function beginGeneration(
	state: EntryState,
	stream: Stream,
	moment: Moment,
): EntryTransition {
	const begun = createGeneration(
		{
			id: stream.generation,
			policy: getPolicy(state, stream),
			retryLimit: RETRY_LIMIT,
			start: {kind: 'new'},
		},
		moment.now,
	);
	return runMachine(state, stream, begun, moment);
}
