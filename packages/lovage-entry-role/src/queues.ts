import {
	countWaiting,
	createAdmission,
	stepAdmission,
	type AdmissionEffect,
	type AdmissionEvent,
	type AdmissionState,
	type RefusalReason,
} from '@lovagevalve/admission';
import type {FailureReason} from '@lovagevalve/generation';
import {placeStream, stepStream} from './stream-generation.js';
import type {StepContext} from './step-context.js';
import {countAvailableSlots} from './backend-selection.js';
import {isDeathUnacknowledged} from './suspects.js';
import {listAvailableBackends} from './view.js';
import type {EntryState, Stream} from './state.js';
import {
	chain,
	chainEach,
	transition,
	type EntryTransition,
} from './transition.js';

const OLDEST_FIRST_INTERVAL = 8;

const FAILURE_BY_REFUSAL: Readonly<Record<RefusalReason, FailureReason>> = {
	'queue-full': 'no-backend-server',
	'deadline-unmeetable': 'deadline-passed',
	'retry-budget-spent': 'retry-budget-spent',
};

function createQueue(state: EntryState): AdmissionState {
	const {inventory, rules} = state.lease.configuration!;
	const {queueLength, retryShare} = rules.limits;
	return createAdmission({
		queueLength,
		resumedLength: state.options.maxOpen,
		retryShare,
		shares: Object.fromEntries(
			inventory.customers.map(({id, share}) => [id, share]),
		),
		oldestEvery: OLDEST_FIRST_INTERVAL,
	});
}

function isEmpty(queue: AdmissionState): boolean {
	return countWaiting(queue) === 0 && queue.resumed.length === 0;
}

function runEffect(
	state: EntryState,
	effect: AdmissionEffect,
	context: StepContext,
): EntryTransition {
	const stream = state.streams.get(effect.id);
	if (!stream) {
		return transition(state);
	}

	if (effect.kind === 'start') {
		const placed = placeStream(state, stream, context);
		const isPlaced =
			placed.state.streams.get(stream.id)?.phase.kind !== 'queued';
		const {now} = context;
		return isPlaced
			? placed
			: stepQueue(
					state,
					stream.input.service,
					{kind: 'returned', id: stream.id, now},
					context,
				);
	}

	const {retryAfterMs} = effect;
	const refused: Stream = {...stream, retryAfterMs};
	return stepStream(
		{...state, streams: state.streams.set(stream.id, refused)},
		stream.id,
		{
			kind: 'placement-refused',
			reason: FAILURE_BY_REFUSAL[effect.reason],
			now: context.now,
		},
		context,
	);
}

function stepQueue(
	state: EntryState,
	service: string,
	event: AdmissionEvent,
	context: StepContext,
): EntryTransition {
	if (!state.lease.configuration) {
		return transition(state);
	}

	const queue = state.queues.get(service) ?? createQueue(state);
	const step = stepAdmission(queue, event);
	const next = {...state, queues: state.queues.set(service, step.state)};
	return chainEach(next, step.effects, (current, effect) =>
		runEffect(current, effect, context),
	);
}

/** Starts queued work for which there are free slots. */
export function startQueuedRequests(
	state: EntryState,
	service: string,
	context: StepContext,
): EntryTransition {
	const {now} = context;
	const freeSlots = countAvailableSlots(state, service, now);
	return stepQueue(state, service, {kind: 'capacity', freeSlots, now}, context);
}

/** Adds a stream to the queue of its service; it may start immediately. */
export function enqueueStream(
	state: EntryState,
	stream: Stream,
	context: StepContext,
): EntryTransition {
	const {id, customer, priority, deadlineAt, input, generationState, phase} =
		stream;
	const {now} = context;
	const isResumed = phase.kind === 'queued' && phase.isResumed;
	const event: AdmissionEvent = isResumed
		? {
				kind: 'resumed-arrived',
				request: {
					id,
					retries: generationState?.retries ?? 1,
					isDelivered: stream.hasDeliveredTokens,
				},
				now,
			}
		: {
				kind: 'request-arrived',
				request: {
					id,
					customer,
					priority,
					deadline: deadlineAt,
					cost: input.maxTokens,
					durationMs: 0,
				},
				now,
			};
	return chain(stepQueue(state, input.service, event, context), (next) =>
		startQueuedRequests(next, input.service, context),
	);
}

/** Removes the stream of a disconnected caller from its queue. */
export function dequeueStream(
	state: EntryState,
	stream: Stream,
	context: StepContext,
): EntryTransition {
	const {id, input} = stream;
	const {now} = context;
	return stepQueue(state, input.service, {kind: 'left', id, now}, context);
}

/** How long requests wait while their service has no backend server. */
const NO_BACKEND_TIMEOUT_MS = 15_000;
/** How long a stream waits for the control group to acknowledge a death. */
const DEATH_ACKNOWLEDGEMENT_TIMEOUT_MS = 4000;

function refuseQueued(
	state: EntryState,
	{id, input}: Stream,
	reason: FailureReason,
	context: StepContext,
): EntryTransition {
	const {now} = context;
	const left = stepQueue(
		state,
		input.service,
		{kind: 'left', id, now},
		context,
	);
	return chain(left, (next) =>
		stepStream(next, id, {kind: 'placement-refused', reason, now}, context),
	);
}

function listQueued(state: EntryState, service: string): readonly Stream[] {
	return [...state.streams.values()].filter(
		({phase, input}) => phase.kind === 'queued' && input.service === service,
	);
}

/** Refuses queued requests whose service has had no backend server for too long. */
function refuseWithoutBackends(
	state: EntryState,
	service: string,
	context: StepContext,
): EntryTransition {
	const {now} = context;
	if (listAvailableBackends(state.view, state.lease, service, now).length > 0) {
		const noBackendSince = state.noBackendSince.delete(service);
		return transition({...state, noBackendSince});
	}

	const since = state.noBackendSince.get(service) ?? now;
	const next = {
		...state,
		noBackendSince: state.noBackendSince.set(service, since),
	};
	return now < since + NO_BACKEND_TIMEOUT_MS
		? transition(next)
		: chainEach(next, listQueued(next, service), (current, stream) =>
				refuseQueued(current, stream, 'no-backend-server', context),
			);
}

/** Refuses queued streams whose last death no quorum has acknowledged in time. */
function refuseUnacknowledgedDeaths(
	state: EntryState,
	service: string,
	context: StepContext,
): EntryTransition {
	const unacknowledged = listQueued(state, service).filter(
		(stream) =>
			isDeathUnacknowledged(state, stream, context.now) &&
			context.now >=
				(stream.lastDeath?.since ?? 0) + DEATH_ACKNOWLEDGEMENT_TIMEOUT_MS,
	);
	return chainEach(state, unacknowledged, (current, stream) =>
		refuseQueued(current, stream, 'retry-budget-spent', context),
	);
}

/** Refuses timed-out requests and starts others if slots are free, in each queue. */
export function processQueues(
	state: EntryState,
	context: StepContext,
): EntryTransition {
	const waiting = [...state.queues.entries()]
		.filter(([, queue]) => !isEmpty(queue))
		.map(([service]) => service);
	const {now} = context;
	return chainEach(state, waiting, (next, service) =>
		[
			(current: EntryState) => refuseWithoutBackends(current, service, context),
			(current: EntryState) =>
				refuseUnacknowledgedDeaths(current, service, context),
			(current: EntryState) =>
				stepQueue(current, service, {kind: 'ticked', now}, context),
			(current: EntryState) => startQueuedRequests(current, service, context),
		].reduce(chain, transition(next)),
	);
}
