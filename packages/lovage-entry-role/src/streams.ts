import {stepGeneration} from '@lovagevalve/generation';
import {priorityOf} from '@lovagevalve/inventory';
import {abandonStream} from './abandoned-attempts.js';
import {adoptGeneration} from './generation-start.js';
import {
	checkRequest,
	findUnavailableRefusal,
	type AllowedRequest,
} from './checks.js';
import type {EntryEvent} from './events.js';
import type {GenerationInput} from './inputs.js';
import type {RefusalDetail} from './refusals.js';
import {applyGenerationStep} from './stream-generation.js';
import type {StepContext} from './step-context.js';
import {unregisterLocation} from './generation-locations.js';
import {dequeueStream} from './queues.js';
import {registerStream} from './registration.js';
import {createLocation, type EntryState, type Stream} from './state.js';
import {isQuarantined} from './suspects.js';
import {chain, transition, type EntryTransition} from './transition.js';

type GenerationRequestedEvent = Extract<
	EntryEvent,
	{kind: 'generation-requested'}
>;

function refuseRequest(
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

	if (isQuarantined(state, customer, input.digest)) {
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

/** Marks the refusal of a new generation as "not run"; a resumed one may have run. */
function markNotRun(
	refusal: RefusalDetail,
	input: GenerationInput,
): RefusalDetail {
	return refusal.reason === 'no-lease' && !input.cursor
		? {...refusal, outcome: 'not-run'}
		: refusal;
}

function createStream(
	event: GenerationRequestedEvent,
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
		generationState: undefined,
		backend: undefined,
		hasDeliveredTokens: false,
		isAdopted: false,
		deaths: 0,
		lastDeath: undefined,
		retryAfterMs: undefined,
	};
}

/** Accepts or refuses a caller's request to start or resume a generation. */
export function requestGeneration(
	state: EntryState,
	event: GenerationRequestedEvent,
): EntryTransition {
	const {input, stream: id, now} = event;
	const busy = findUnavailableRefusal(state);
	if (busy) {
		return refuseRequest(state, id, busy);
	}

	const check = checkRequest(state, {
		keyHash: event.keyHash,
		service: input.service,
		kind: 'engine',
		now,
	});
	if (check.kind === 'refused') {
		return refuseRequest(state, id, markNotRun(check.refusal, input));
	}

	const refusal = checkInput(check, input, state);
	if (refusal) {
		return refuseRequest(state, id, refusal);
	}

	const stream = createStream(event, check);
	const next = {...state, streams: state.streams.set(id, stream)};
	return input.cursor
		? adoptGeneration(next, stream, input.cursor, event)
		: registerStream(next, stream, event);
}

/** Keeps the attempt of a disconnected caller for a grace period before it is cancelled. */
export function handleCallerLeft(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'caller-left'}>,
): EntryTransition {
	const stream = state.streams.get(event.stream);
	if (!stream) {
		return transition(state);
	}

	const {generationState, backend} = stream;
	if (!generationState || !backend) {
		return removeUnplacedStream(state, stream, event);
	}

	const released = applyGenerationStep(
		state,
		stream,
		stepGeneration(generationState, {kind: 'taken-over', now: event.now}),
		event,
	);
	return chain(released, (next) =>
		transition(abandonStream(next, stream, event.now)),
	);
}

function removeUnplacedStream(
	state: EntryState,
	stream: Stream,
	context: StepContext,
): EntryTransition {
	const location = createLocation(state, stream);
	const next = {...state, streams: state.streams.delete(stream.id)};
	return chain(dequeueStream(next, stream, context), (after) =>
		unregisterLocation(after, location),
	);
}
