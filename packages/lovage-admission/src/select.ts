import {isOldestTurn} from './order.js';
import {countWaiting, getQueue} from './queue.js';
import {
	getShare,
	type AdmissionState,
	type CustomerQueue,
	type QueuedRequest,
} from './state.js';
import type {WaitingRequest} from './types.js';

type ActiveCustomer = Readonly<{customer: string; queue: CustomerQueue}>;

function listActive(state: AdmissionState): readonly ActiveCustomer[] {
	return [...state.customers]
		.filter(([, queue]) => queue.requests.length > 0)
		.map(([customer, queue]) => ({customer, queue}));
}

/** Selects the new request to start next. */
export function selectNext(state: AdmissionState): QueuedRequest | undefined {
	return state.guards.oldestFirst &&
		isOldestTurn(state.startCount, state.options.oldestEvery)
		? selectOldest(state)
		: selectByShare(state);
}

function selectOldest(state: AdmissionState): QueuedRequest | undefined {
	return listActive(state)
		.flatMap(({queue}) => queue.requests)
		.reduce<QueuedRequest | undefined>(
			(oldest, request) =>
				oldest === undefined || request.order < oldest.order ? request : oldest,
			undefined,
		);
}

function selectByShare(state: AdmissionState): QueuedRequest | undefined {
	const best = listActive(state).reduce<ActiveCustomer | undefined>(
		(chosen, entry) =>
			chosen === undefined || startsBefore(state, entry, chosen)
				? entry
				: chosen,
		undefined,
	);
	return best?.queue.requests[0];
}

function startsBefore(
	state: AdmissionState,
	left: ActiveCustomer,
	right: ActiveCustomer,
): boolean {
	const first = left.queue.requests[0]!;
	const second = right.queue.requests[0]!;
	if (first.priority !== second.priority) {
		return first.priority > second.priority;
	}

	return state.guards.fairShares &&
		left.queue.virtualTime !== right.queue.virtualTime
		? left.queue.virtualTime < right.queue.virtualTime
		: first.order < second.order;
}

/**
 * Selects the waiting request to evict for a new one when the queue is full: the
 * last one of the customer with the most waiting requests relative to its share.
 */
export function selectEvicted(
	state: AdmissionState,
	request: WaitingRequest,
): QueuedRequest | undefined {
	if (!state.guards.fairShares) {
		return undefined;
	}

	const computeQueueUse = ({customer, queue}: ActiveCustomer) =>
		queue.requests.length / getShare(state, customer);
	const fullest = listActive(state).reduce<ActiveCustomer | undefined>(
		(chosen, entry) =>
			chosen === undefined || computeQueueUse(entry) > computeQueueUse(chosen)
				? entry
				: chosen,
		undefined,
	);
	const own = getQueue(state, request.customer).requests.length + 1;
	return fullest !== undefined &&
		own / getShare(state, request.customer) < computeQueueUse(fullest)
		? fullest.queue.requests.at(-1)
		: undefined;
}

/** Estimates how many requests start before a new one, given the shares. */
export function countAhead(
	state: AdmissionState,
	request: WaitingRequest,
): number {
	const ownShare = getShare(state, request.customer);
	const startsBefore = (other: QueuedRequest) =>
		other.priority > request.priority ||
		(other.priority === request.priority &&
			(other.deadline ?? Number.MAX_VALUE) <=
				(request.deadline ?? Number.MAX_VALUE));
	const own = getQueue(state, request.customer).requests.filter(
		startsBefore,
	).length;
	const others = listActive(state)
		.filter(({customer}) => customer !== request.customer)
		.map(({customer, queue}) => {
			const higher = queue.requests.filter(
				({priority}) => priority > request.priority,
			).length;
			const equal = queue.requests.filter(
				({priority}) => priority === request.priority,
			).length;
			const turns = ((own + 1) * getShare(state, customer)) / ownShare;
			return higher + Math.min(equal, turns);
		})
		.reduce((sum, count) => sum + count, 0);
	return Math.min(countWaiting(state), own + others);
}
