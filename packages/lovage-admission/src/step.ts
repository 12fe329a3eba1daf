import {createTransition} from '@lovagevalve/core';
import {
	creditFirstAttempt,
	canRetry,
	refillBudget,
	spendRetry,
} from './budget.js';
import {estimateWait, computeRetryAfter, recordStart} from './pace.js';
import {chargeCustomer, countWaiting, dequeue, enqueue} from './queue.js';
import {countAhead, selectNext, selectEvicted} from './select.js';
import type {
	AdmissionState,
	AdmissionTransition,
	QueuedRequest,
	QueuedResumedRequest,
} from './state.js';
import type {
	AdmissionEffect,
	AdmissionEvent,
	RefusalReason,
	ResumedRequest,
	WaitingRequest,
} from './types.js';

const RETURNED_RETRY_DELAY_MS = 50;

/** Applies one event to the queue of a service. Pure. */
export function stepAdmission(
	state: AdmissionState,
	event: AdmissionEvent,
): AdmissionTransition {
	const budget = refillBudget(state.budget, event.now);
	const applied = applyEvent({...state, budget}, event);
	return startQueuedRequests(applied.state, event.now, applied.effects);
}

function applyEvent(
	state: AdmissionState,
	event: AdmissionEvent,
): AdmissionTransition {
	switch (event.kind) {
		case 'request-arrived': {
			return admitRequest(state, event.request, event.now);
		}

		case 'resumed-arrived': {
			return admitResumed(state, event.request);
		}

		case 'returned': {
			return requeueReturned(state, event.id, event.now);
		}

		case 'capacity': {
			return createTransition({...state, freeSlots: event.freeSlots});
		}

		case 'finished': {
			return createTransition({...state, freeSlots: state.freeSlots + 1});
		}

		case 'left': {
			const resumed = state.resumed.filter(({id}) => id !== event.id);
			return createTransition(dequeue({...state, resumed}, event.id));
		}

		case 'ticked': {
			return refuseUnmeetable(state, event.now);
		}
	}
}

/**
 * Requeues a started request that could not be placed. The number of free slots
 * is unknown then and set to 0, as other requests can hardly be placed either.
 */
function requeueReturned(
	state: AdmissionState,
	id: string,
	now: number,
): AdmissionTransition {
	const item: QueuedResumedRequest = {
		id,
		retries: 0,
		isDelivered: false,
		needsBudget: false,
		notBefore: now + RETURNED_RETRY_DELAY_MS,
	};
	return createTransition({
		...state,
		resumed: [...state.resumed, item],
		freeSlots: 0,
	});
}

function createRefusal(
	state: AdmissionState,
	id: string,
	reason: RefusalReason,
): AdmissionEffect {
	const retryAfterMs = computeRetryAfter(state.pace, countWaiting(state));
	return {kind: 'refuse', id, reason, retryAfterMs};
}

function admitRequest(
	state: AdmissionState,
	request: WaitingRequest,
	now: number,
): AdmissionTransition {
	if (state.customerByRequest.has(request.id)) {
		return createTransition(state);
	}

	if (isUnmeetable(state, request, now)) {
		return createTransition(state, [
			createRefusal(state, request.id, 'deadline-unmeetable'),
		]);
	}

	const {order} = state;
	const queued: QueuedRequest = {...request, arrivedAt: now, order};
	const next = {...state, order: order + 1};
	const isFull =
		state.guards.lengthLimit &&
		state.freeSlots <= 0 &&
		countWaiting(state) >= state.options.queueLength;
	return isFull
		? evictOrRefuse(next, queued)
		: createTransition(enqueue(next, queued));
}

function isUnmeetable(
	state: AdmissionState,
	request: WaitingRequest,
	now: number,
): boolean {
	if (request.deadline === undefined) {
		return false;
	}

	const waitMs =
		state.freeSlots > countWaiting(state)
			? 0
			: estimateWait(state.pace, countAhead(state, request));
	return now + waitMs + request.durationMs > request.deadline;
}

function evictOrRefuse(
	state: AdmissionState,
	request: QueuedRequest,
): AdmissionTransition {
	const evicted = selectEvicted(state, request);
	return evicted === undefined
		? createTransition(state, [createRefusal(state, request.id, 'queue-full')])
		: createTransition(enqueue(dequeue(state, evicted.id), request), [
				createRefusal(state, evicted.id, 'queue-full'),
			]);
}

/**
 * Queues a resumed request. Its first extra attempt is free; further ones are
 * charged to the retry budget. When the budget is spent, a request waits if its
 * caller has already received tokens and is refused otherwise.
 */
function admitResumed(
	state: AdmissionState,
	request: ResumedRequest,
): AdmissionTransition {
	const needsBudget = state.guards.retryBudget && request.retries > 1;
	const isRefused =
		needsBudget && !request.isDelivered && !canRetry(state.budget);
	if (isRefused) {
		return createTransition(state, [
			createRefusal(state, request.id, 'retry-budget-spent'),
		]);
	}

	if (state.resumed.length >= state.options.resumedLength) {
		return createTransition(state, [
			createRefusal(state, request.id, 'queue-full'),
		]);
	}

	const resumed = [...state.resumed, {...request, needsBudget, notBefore: 0}];
	return createTransition({...state, resumed});
}

function refuseUnmeetable(
	state: AdmissionState,
	now: number,
): AdmissionTransition {
	const unmeetable = [...state.customers.values()]
		.flatMap(({requests}) => requests)
		.filter(
			({deadline, durationMs}) =>
				deadline !== undefined && now + durationMs > deadline,
		);
	return createTransition(
		unmeetable.reduce((current, {id}) => dequeue(current, id), state),
		unmeetable.map(({id}) => createRefusal(state, id, 'deadline-unmeetable')),
	);
}

function startQueuedRequests(
	initial: AdmissionState,
	now: number,
	before: readonly AdmissionEffect[],
): AdmissionTransition {
	const effects = [...before];
	let state = initial;
	while (state.freeSlots > 0) {
		const started = startNext(state, now);
		if (started === undefined) {
			break;
		}

		effects.push(...started.effects);
		state = started.state;
	}

	return createTransition(state, effects);
}

function startNext(
	state: AdmissionState,
	now: number,
): AdmissionTransition | undefined {
	return state.guards.resumedFirst
		? (startResumed(state, now) ?? startNew(state, now))
		: (startNew(state, now) ?? startResumed(state, now));
}

function startResumed(
	state: AdmissionState,
	now: number,
): AdmissionTransition | undefined {
	const next = state.resumed.find(
		({needsBudget, notBefore}) =>
			notBefore <= now && (!needsBudget || canRetry(state.budget)),
	);
	return next === undefined
		? undefined
		: createTransition<AdmissionState, AdmissionEffect>(
				{
					...state,
					freeSlots: state.freeSlots - 1,
					resumed: state.resumed.filter((other) => other !== next),
					budget: next.needsBudget ? spendRetry(state.budget) : state.budget,
				},
				[{kind: 'start', id: next.id}],
			);
}

function startNew(
	state: AdmissionState,
	now: number,
): AdmissionTransition | undefined {
	const next = selectNext(state);
	if (next === undefined) {
		return undefined;
	}

	const charged = dequeue(chargeCustomer(state, next), next.id);
	const isBacklogged = countWaiting(charged) > 0;
	return createTransition<AdmissionState, AdmissionEffect>(
		{
			...charged,
			freeSlots: charged.freeSlots - 1,
			startCount: charged.startCount + 1,
			budget: creditFirstAttempt(charged.budget, charged.options.retryShare),
			pace: recordStart(charged.pace, now, isBacklogged),
		},
		[{kind: 'start', id: next.id}],
	);
}
