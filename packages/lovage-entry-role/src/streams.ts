import {stepGeneration} from '@lovagevalve/generation';
import {priorityOf} from '@lovagevalve/inventory';
import {abandonStream} from './abandoned.js';
import {adoptGeneration} from './begin.js';
import {checkRequest, findBusyRefusal, type AllowedRequest} from './checks.js';
import type {EntryEvent} from './events.js';
import type {GenerationInput} from './inputs.js';
import type {RefusalDetail} from './refusals.js';
import {runMachine} from './machine.js';
import type {Moment} from './moment.js';
import {forgetPlace} from './places.js';
import {dequeueStream} from './queues.js';
import {registerStream} from './registration.js';
import {describePlace, type EntryState, type Stream} from './state.js';
import {isConvicted} from './suspects.js';
import {chain, transition, type EntryTransition} from './transition.js';

type Requested = Extract<EntryEvent, {kind: 'generation-requested'}>;

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

/** A new generation that is refused before it began did not run. */
function describeUnrun(
	refusal: RefusalDetail,
	input: GenerationInput,
): RefusalDetail {
	return refusal.reason === 'no-lease' && !input.cursor
		? {...refusal, outcome: 'not-run'}
		: refusal;
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
		priority: priorityOf(configuration.rules, customer, input.service),
		arrivedAt: now,
		deadlineAt:
			input.deadlineMs === undefined ? undefined : now + input.deadlineMs,
		phase: {kind: 'registering', homes: [], answers: {}},
		machine: undefined,
		backend: undefined,
		hasToken: false,
		isAdopted: false,
		deaths: 0,
		awaits: undefined,
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
		return refuse(state, id, describeUnrun(check.refusal, input));
	}

	const refusal = checkInput(check, input, state);
	if (refusal) {
		return refuse(state, id, refusal);
	}

	const stream = createStream(event, check);
	const next = {...state, streams: state.streams.set(id, stream)};
	return input.cursor
		? adoptGeneration(next, stream, input.cursor, event)
		: registerStream(next, stream, event);
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
