import {adoptGeneration, beginGeneration} from './begin.js';
import type {EntryEvent} from './events.js';
import type {RefusalDetail} from './refusals.js';
import type {HomeAnswer, Place} from './homes.js';
import type {EntryPeer} from './lease.js';
import type {Moment} from './moment.js';
import {forgetPlace, listPlaceHomes, registerPlace} from './places.js';
import {describePlace, type EntryState, type Stream} from './state.js';
import {
	chain,
	chainEach,
	transition,
	type EntryTransition,
} from './transition.js';

const IN_PROGRESS_RETRY_MS = 1000;

type HomeAnswered = Extract<EntryEvent, {kind: 'home-answered'}>;

/** Asks the homes of a request whether its generation lives already. */
export function registerStream(
	state: EntryState,
	stream: Stream,
	moment: Moment,
): EntryTransition {
	const {customer, input} = stream;
	const {requestId} = input;
	const homes = listPlaceHomes(state, {customer, requestId});
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
		? beginGeneration(next, registering, moment)
		: chainEach(next, homes, (current, home) =>
				askHome(current, registering, home, moment),
			);
}

function askHome(
	state: EntryState,
	stream: Stream,
	home: EntryPeer,
	moment: Moment,
): EntryTransition {
	const place = describePlace(state, stream);
	if (home.id !== state.options.id) {
		const {id, address} = home;
		return transition(state, [
			{kind: 'register-home', stream: stream.id, home: id, address, place},
		]);
	}

	const registered = registerPlace(state, place, moment.now);
	return answerHome(registered.state, {
		kind: 'home-answered',
		stream: stream.id,
		home: home.id,
		answer: registered.answer,
		now: moment.now,
		random: moment.random,
	});
}

/** Goes on with a stream once each home of its request has answered. */
export function answerHome(
	state: EntryState,
	event: HomeAnswered,
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
		? decide(
				answered,
				next,
				homes.map((home) => answers[home]),
				event,
			)
		: transition(answered);
}

function decide(
	state: EntryState,
	stream: Stream,
	answers: ReadonlyArray<HomeAnswer | undefined>,
	moment: Moment,
): EntryTransition {
	if (answers.some((answer) => answer?.kind === 'conflict')) {
		const detail = 'This request id was used with another body.';
		return dropStream(state, stream, {reason: 'conflict', detail});
	}

	const places = answers.flatMap((answer) =>
		answer?.kind === 'found' ? [answer.place] : [],
	);
	const isOther = (place: Place) => place.generation !== stream.generation;
	const placed = places.find((place) => isOther(place) && place.backend !== '');
	if (placed) {
		const joined = {...stream, generation: placed.generation};
		return adoptGeneration(state, joined, {...placed, offset: 0}, moment);
	}

	const [deciding] = places;
	return deciding && isOther(deciding) && isEntryAlive(state, deciding.entry)
		? dropStream(state, stream, {
				reason: 'in-progress',
				detail: 'An earlier send of this request waits for a backend server.',
				outcome: 'in-progress',
				retryAfterMs: IN_PROGRESS_RETRY_MS,
			})
		: beginGeneration(state, stream, moment);
}

function isEntryAlive(state: EntryState, id: string): boolean {
	return (
		id === state.options.id ||
		state.lease.entries.some((peer) => peer.id === id)
	);
}

function dropStream(
	state: EntryState,
	stream: Stream,
	refusal: RefusalDetail,
): EntryTransition {
	const place = describePlace(state, stream);
	const next = {...state, streams: state.streams.delete(stream.id)};
	return chain(
		transition(next, [{kind: 'refuse-stream', stream: stream.id, refusal}]),
		(current) => forgetPlace(current, place),
	);
}
