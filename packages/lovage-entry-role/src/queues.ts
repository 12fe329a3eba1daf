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
import {placeStream, stepStream} from './machine.js';
import type {Moment} from './moment.js';
import {countFree} from './place.js';
import {isUnacknowledged} from './suspects.js';
import {listUsable} from './view.js';
import type {EntryState, Stream} from './state.js';
import {
	chain,
	chainEach,
	transition,
	type EntryTransition,
} from './transition.js';

const OLDEST_EVERY = 8;

const FAILURES: Readonly<Record<RefusalReason, FailureReason>> = {
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
		oldestEvery: OLDEST_EVERY,
	});
}

function isEmpty(queue: AdmissionState): boolean {
	return countWaiting(queue) === 0 && queue.resumed.length === 0;
}

function runEffect(
	state: EntryState,
	effect: AdmissionEffect,
	moment: Moment,
): EntryTransition {
	const stream = state.streams.get(effect.id);
	if (!stream) {
		return transition(state);
	}

	if (effect.kind === 'start') {
		const placed = placeStream(state, stream, moment);
		const isPlaced =
			placed.state.streams.get(stream.id)?.phase.kind !== 'queued';
		const {now} = moment;
		return isPlaced
			? placed
			: stepQueue(
					state,
					stream.input.service,
					{kind: 'returned', id: stream.id, now},
					moment,
				);
	}

	const {retryAfterMs} = effect;
	const refused: Stream = {...stream, retryAfterMs};
	return stepStream(
		{...state, streams: state.streams.set(stream.id, refused)},
		stream.id,
		{
			kind: 'placement-refused',
			reason: FAILURES[effect.reason],
			now: moment.now,
		},
		moment,
	);
}

function stepQueue(
	state: EntryState,
	service: string,
	event: AdmissionEvent,
	moment: Moment,
): EntryTransition {
	if (!state.lease.configuration) {
		return transition(state);
	}

	const queue = state.queues.get(service) ?? createQueue(state);
	const step = stepAdmission(queue, event);
	const next = {...state, queues: state.queues.set(service, step.state)};
	return chainEach(next, step.effects, (current, effect) =>
		runEffect(current, effect, moment),
	);
}

/** Starts waiting work for which there is room now. */
export function serveQueue(
	state: EntryState,
	service: string,
	moment: Moment,
): EntryTransition {
	const {now} = moment;
	const free = countFree(state, service, now);
	return stepQueue(state, service, {kind: 'capacity', free, now}, moment);
}

/** Lets a stream wait for its turn, which may come at once. */
export function enqueueStream(
	state: EntryState,
	stream: Stream,
	moment: Moment,
): EntryTransition {
	const {id, customer, priority, deadlineAt, input, machine, phase} = stream;
	const {now} = moment;
	const isResumed = phase.kind === 'queued' && phase.isResumed;
	const event: AdmissionEvent = isResumed
		? {
				kind: 'resumed-arrived',
				request: {
					id,
					retries: machine?.retries ?? 1,
					isDelivered: stream.hasToken,
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
	return chain(stepQueue(state, input.service, event, moment), (next) =>
		serveQueue(next, input.service, moment),
	);
}

/** Takes a stream whose caller left out of its queue. */
export function dequeueStream(
	state: EntryState,
	stream: Stream,
	moment: Moment,
): EntryTransition {
	const {id, input} = stream;
	const {now} = moment;
	return stepQueue(state, input.service, {kind: 'left', id, now}, moment);
}

/** Time to wait for a backend server of a service that has none. */
const WAIT_WITHOUT_BACKENDS_MS = 15_000;
/** Time to wait for the control group to acknowledge a death. */
const WAIT_FOR_VERDICT_MS = 4000;

function refuseQueued(
	state: EntryState,
	{id, input}: Stream,
	reason: FailureReason,
	moment: Moment,
): EntryTransition {
	const {now} = moment;
	const left = stepQueue(state, input.service, {kind: 'left', id, now}, moment);
	return chain(left, (next) =>
		stepStream(next, id, {kind: 'placement-refused', reason, now}, moment),
	);
}

function listQueued(state: EntryState, service: string): readonly Stream[] {
	return [...state.streams.values()].filter(
		({phase, input}) => phase.kind === 'queued' && input.service === service,
	);
}

/** Gives up what waits although its service has had no backend server. */
function refuseWithoutBackends(
	state: EntryState,
	service: string,
	moment: Moment,
): EntryTransition {
	const {now} = moment;
	if (listUsable(state.view, state.lease, service, now).length > 0) {
		const emptySince = state.emptySince.delete(service);
		return transition({...state, emptySince});
	}

	const since = state.emptySince.get(service) ?? now;
	const next = {...state, emptySince: state.emptySince.set(service, since)};
	return now < since + WAIT_WITHOUT_BACKENDS_MS
		? transition(next)
		: chainEach(next, listQueued(next, service), (current, stream) =>
				refuseQueued(current, stream, 'no-backend-server', moment),
			);
}

/** Gives up what waits for a verdict that no quorum gives. */
function refuseUnjudged(
	state: EntryState,
	service: string,
	moment: Moment,
): EntryTransition {
	const unjudged = listQueued(state, service).filter(
		(stream) =>
			isUnacknowledged(state, stream, moment.now) &&
			moment.now >= (stream.awaits?.since ?? 0) + WAIT_FOR_VERDICT_MS,
	);
	return chainEach(state, unjudged, (current, stream) =>
		refuseQueued(current, stream, 'retry-budget-spent', moment),
	);
}

/** Refuses what waits too long and starts what has room, in every queue. */
export function serveQueues(
	state: EntryState,
	moment: Moment,
): EntryTransition {
	const waiting = [...state.queues.entries()]
		.filter(([, queue]) => !isEmpty(queue))
		.map(([service]) => service);
	const {now} = moment;
	return chainEach(state, waiting, (next, service) =>
		[
			(current: EntryState) => refuseWithoutBackends(current, service, moment),
			(current: EntryState) => refuseUnjudged(current, service, moment),
			(current: EntryState) =>
				stepQueue(current, service, {kind: 'ticked', now}, moment),
			(current: EntryState) => serveQueue(current, service, moment),
		].reduce(chain, transition(next)),
	);
}
