import {adoptGeneration, startGeneration} from './generation-start.js';
import type {EntryEvent} from './events.js';
import type {RefusalDetail} from './refusals.js';
import type {HomeAnswer, GenerationLocation} from './location-table.js';
import type {EntryPeer} from './lease.js';
import type {StepContext} from './step-context.js';
import {
	unregisterLocation,
	listHomeEntries,
	registerLocation,
} from './generation-locations.js';
import {createLocation, type EntryState, type Stream} from './state.js';
import {
	chain,
	chainEach,
	transition,
	type EntryTransition,
} from './transition.js';

const IN_PROGRESS_RETRY_MS = 1000;

type HomeAnsweredEvent = Extract<EntryEvent, {kind: 'home-answered'}>;

/** Asks the home entries of a request whether it already has a generation. */
export function registerStream(
	state: EntryState,
	stream: Stream,
	context: StepContext,
): EntryTransition {
	const {customer, input} = stream;
	const {requestId} = input;
	const homes = listHomeEntries(state, {customer, requestId});
	const registering: Stream = {
		...stream,
		phase: {
			kind: 'registering',
			homes: homes.map(({id}) => id),
			answers: {},
		},
	};
	const next = {
		...state,
		streams: state.streams.set(stream.id, registering),
	};
	return homes.length === 0
		? startGeneration(next, registering, context)
		: chainEach(next, homes, (current, home) =>
				queryHomeEntry(current, registering, home, context),
			);
}

function queryHomeEntry(
	state: EntryState,
	stream: Stream,
	home: EntryPeer,
	context: StepContext,
): EntryTransition {
	const location = createLocation(state, stream);
	if (home.id !== state.options.id) {
		const {id, address} = home;
		return transition(state, [
			{
				kind: 'register-home',
				stream: stream.id,
				home: id,
				address,
				place: location,
			},
		]);
	}

	const registered = registerLocation(state, location, context.now);
	return handleHomeAnswer(registered.state, {
		kind: 'home-answered',
		stream: stream.id,
		home: home.id,
		answer: registered.answer,
		now: context.now,
		random: context.random,
	});
}

/** Stores a home entry's answer and continues once all of them have answered. */
export function handleHomeAnswer(
	state: EntryState,
	event: HomeAnsweredEvent,
): EntryTransition {
	const stream = state.streams.get(event.stream);
	if (stream?.phase.kind !== 'registering') {
		return transition(state);
	}

	const {homes} = stream.phase;
	const answers = {...stream.phase.answers, [event.home]: event.answer};
	const next: Stream = {
		...stream,
		phase: {kind: 'registering', homes, answers},
	};
	const answered = {...state, streams: state.streams.set(stream.id, next)};
	return homes.every((home) => home in answers)
		? resolveRegistration(
				answered,
				next,
				homes.map((home) => answers[home]),
				event,
			)
		: transition(answered);
}

function resolveRegistration(
	state: EntryState,
	stream: Stream,
	answers: ReadonlyArray<HomeAnswer | undefined>,
	context: StepContext,
): EntryTransition {
	if (answers.some((answer) => answer?.kind === 'conflict')) {
		const detail = 'This request id was used with another body.';
		return refuseStream(state, stream, {reason: 'conflict', detail});
	}

	const locations = answers.flatMap((answer) =>
		answer?.kind === 'found' ? [answer.place] : [],
	);
	const isOtherGeneration = (location: GenerationLocation) =>
		location.generation !== stream.generation;
	const placed = locations.find(
		(location) => isOtherGeneration(location) && location.backend !== '',
	);
	if (placed) {
		const joined = {...stream, generation: placed.generation};
		return adoptGeneration(state, joined, {...placed, offset: 0}, context);
	}

	const [firstLocation] = locations;
	return firstLocation &&
		isOtherGeneration(firstLocation) &&
		isEntryAlive(state, firstLocation.entry)
		? refuseStream(state, stream, {
				reason: 'in-progress',
				detail: 'An earlier send of this request waits for a backend server.',
				outcome: 'in-progress',
				retryAfterMs: IN_PROGRESS_RETRY_MS,
			})
		: startGeneration(state, stream, context);
}

function isEntryAlive(state: EntryState, id: string): boolean {
	return (
		id === state.options.id ||
		state.lease.entries.some((peer) => peer.id === id)
	);
}

function refuseStream(
	state: EntryState,
	stream: Stream,
	refusal: RefusalDetail,
): EntryTransition {
	const location = createLocation(state, stream);
	const next = {...state, streams: state.streams.delete(stream.id)};
	return chain(
		transition(next, [{kind: 'refuse-stream', stream: stream.id, refusal}]),
		(current) => unregisterLocation(current, location),
	);
}
