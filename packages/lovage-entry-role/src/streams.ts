import {
	createGeneration,
	getDetectionPolicy,
	stepGeneration,
} from '@lovagevalve/generation';
import type {Configuration} from '@lovagevalve/inventory';
import {abandonStream, releaseAbandoned} from './abandoned.js';
import {findHome} from './addresses.js';
import {checkRequest, findBusyRefusal, type AllowedRequest} from './checks.js';
import type {
	Cursor,
	EntryEffect,
	EntryEvent,
	GenerationInput,
	RefusalDetail,
} from './events.js';
import {homeKey, type HomeAnswer, type Place} from './homes.js';
import {runMachine, type Moment} from './machine.js';
import {forgetPlace, publishPlace, registerPlace} from './places.js';
import {dequeueStream} from './queues.js';
import {
	describePlace,
	isLeaving,
	type EntryState,
	type Stream,
} from './state.js';
import {isConvicted} from './suspects.js';
import {chain, transition, type EntryTransition} from './transition.js';
import {countInFlight} from './view.js';

const RETRY_LIMIT = 8;
const IN_PROGRESS_RETRY_MS = 1000;

type Requested = Extract<EntryEvent, {kind: 'generation-requested'}>;
type HomeAnswered = Extract<EntryEvent, {kind: 'home-answered'}>;

function refuse(
	state: EntryState,
	stream: string,
	refusal: RefusalDetail,
): EntryTransition {
	return transition(state, [{kind: 'refuse-stream', stream, refusal}]);
}

function checkInput(
	{configuration, customer, service}: AllowedRequest,
	input: GenerationInput,
	state: EntryState,
): RefusalDetail | undefined {
	const {limits} = configuration.rules;
	if (input.promptBytes > limits.maxPromptBytes) {
		const detail = `The prompt is longer than ${limits.maxPromptBytes} bytes.`;
		return {reason: 'too-large', detail, outcome: 'not-run'};
	}

	if (input.maxTokens > limits.maxTokens) {
		const detail = `maxTokens is above ${limits.maxTokens}.`;
		return {reason: 'invalid-request', detail, outcome: 'not-run'};
	}

	const {model} = input;
	if (model !== undefined && !service.models.some(({id}) => id === model)) {
		const detail = `The service has no model "${model}".`;
		return {reason: 'invalid-request', detail, outcome: 'not-run'};
	}

	if (isConvicted(state, customer, input.digest)) {
		const detail =
			'This request crashed the backend servers that ran it; it is not run again.';
		return {reason: 'quarantined', detail};
	}

	const {cursor} = input;
	if (
		cursor &&
		(cursor.customer !== customer || cursor.requestId !== input.requestId)
	) {
		const detail = 'The cursor belongs to another request.';
		return {reason: 'invalid-cursor', detail};
	}

	return undefined;
}

function findPriority(
	configuration: Configuration,
	customer: string,
	service: string,
): number {
	const matching = configuration.rules.priorities.filter(
		(rule) =>
			(rule.customer ?? customer) === customer &&
			(rule.service ?? service) === service,
	);
	return Math.max(0, ...matching.map(({priority}) => priority));
}

function createStream(
	event: Requested,
	{customer, service, configuration}: AllowedRequest,
): Stream {
	const {input, now} = event;
	return {
		id: event.stream,
		customer,
		input,
		generation: input.cursor?.generation ?? event.generation,
		model: input.model ?? service.models[0]?.id,
		priority: findPriority(configuration, customer, input.service),
		arrivedAt: now,
		deadlineAt:
			input.deadlineMs === undefined ? undefined : now + input.deadlineMs,
		phase: {kind: 'registering'},
		machine: undefined,
		backend: undefined,
		hasToken: false,
		isAdopted: false,
		retryAfterMs: undefined,
	};
}

/** Takes in a caller's request to generate, or to go on with one. */
export function requestGeneration(
	state: EntryState,
	event: Requested,
): EntryTransition {
	const {input, stream: id, now} = event;
	const busy = findBusyRefusal(state);
	if (busy) {
		return refuse(state, id, busy);
	}

	const check = checkRequest(state, {
		keyHash: event.keyHash,
		service: input.service,
		kind: 'engine',
		now,
	});
	if (check.kind === 'refused') {
		return refuse(state, id, check.refusal);
	}

	const refusal = checkInput(check, input, state);
	if (refusal) {
		return refuse(state, id, refusal);
	}

	const stream = createStream(event, check);
	const next = {...state, streams: state.streams.set(id, stream)};
	return input.cursor
		? adopt(next, stream, input.cursor, event)
		: registerStream(next, stream, event);
}

function registerStream(
	state: EntryState,
	stream: Stream,
	moment: Moment,
): EntryTransition {
	const key = homeKey(stream.customer, stream.input.requestId);
	const home = findHome(state.options, state.lease, isLeaving(state), key);
	const place = describePlace(state, stream);
	if (!home) {
		return beginGeneration(state, stream, moment);
	}

	if (home.id !== state.options.id) {
		const {address} = home;
		return transition(state, [
			{kind: 'register-home', stream: stream.id, address, place},
		]);
	}

	const registered = registerPlace(state, place, moment.now);
	return answerHome(registered.state, {
		kind: 'home-answered',
		stream: stream.id,
		answer: registered.answer,
		...moment,
	});
}

/** Goes on with a stream once the home of its request has answered. */
export function answerHome(
	state: EntryState,
	event: HomeAnswered,
): EntryTransition {
	const stream = state.streams.get(event.stream);
	if (stream?.phase.kind !== 'registering') {
		return transition(state);
	}

	const {answer} = event;
	if (answer?.kind === 'conflict') {
		const detail = 'This request id was used with another body.';
		return dropStream(state, stream, {reason: 'conflict', detail});
	}

	const found = findOtherPlace(stream, answer);
	return found
		? joinGeneration(state, stream, found, event)
		: beginGeneration(state, stream, event);
}

function findOtherPlace(
	stream: Stream,
	answer: HomeAnswer | undefined,
): Place | undefined {
	return answer?.kind === 'found' &&
		answer.place.generation !== stream.generation
		? answer.place
		: undefined;
}

function isEntryAlive(state: EntryState, id: string): boolean {
	return (
		id === state.options.id ||
		state.lease.entries.some((peer) => peer.id === id)
	);
}

/** Serves the generation that an earlier send of the same request began. */
function joinGeneration(
	state: EntryState,
	stream: Stream,
	place: Place,
	moment: Moment,
): EntryTransition {
	if (place.backend === '' && !isEntryAlive(state, place.entry)) {
		return beginGeneration(state, stream, moment);
	}

	if (place.backend === '') {
		return dropStream(state, stream, {
			reason: 'in-progress',
			detail: 'An earlier send of this request waits for a backend server.',
			outcome: 'in-progress',
			retryAfterMs: IN_PROGRESS_RETRY_MS,
		});
	}

	const joined = {...stream, generation: place.generation};
	return adopt(state, joined, {...place, offset: 0}, moment);
}

type Adopted = Readonly<{
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

function adopt(
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
			},
		},
		moment.now,
	);
	const address = state.view.get(backend)?.announcement.address ?? '';
	const running: Stream = {
		...stream,
		phase: {kind: 'running'},
		backend: {id: backend, address},
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

function beginGeneration(
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

function dropStream(
	state: EntryState,
	stream: Stream,
	refusal: RefusalDetail,
): EntryTransition {
	const next = {...state, streams: state.streams.delete(stream.id)};
	return refuse(next, stream.id, refusal);
}

/** Keeps the attempt of a caller that left for a while, then cancels it. */
export function leaveStream(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'caller-left'}>,
): EntryTransition {
	const stream = state.streams.get(event.stream);
	if (!stream) {
		return transition(state);
	}

	const {machine, backend} = stream;
	if (!machine || !backend) {
		return leaveQueue(state, stream, event);
	}

	const released = runMachine(
		state,
		stream,
		stepGeneration(machine, {kind: 'taken-over', now: event.now}),
		event,
	);
	return chain(released, (next) =>
		transition(abandonStream(next, stream, event.now)),
	);
}

function leaveQueue(
	state: EntryState,
	stream: Stream,
	moment: Moment,
): EntryTransition {
	const place = describePlace(state, stream);
	const next = {...state, streams: state.streams.delete(stream.id)};
	return chain(dequeueStream(next, stream, moment), (after) =>
		forgetPlace(after, place),
	);
}
