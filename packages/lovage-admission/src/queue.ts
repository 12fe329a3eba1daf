import {chargeWork, enterQueue} from './fair-share.js';
import {compareOrdered} from './order.js';
import {
	getShare,
	type AdmissionState,
	type CustomerQueue,
	type QueuedRequest,
} from './state.js';

const EMPTY_QUEUE: CustomerQueue = {virtualTime: 0, requests: []};

/** Returns the queue of a customer, empty if it has none. */
export function getQueue(
	state: AdmissionState,
	customer: string,
): CustomerQueue {
	return state.customers.get(customer) ?? EMPTY_QUEUE;
}

/** Counts the new requests that are waiting. */
export function countWaiting(state: AdmissionState): number {
	return state.customerByRequest.size;
}

/** Adds a request to the queue of its customer. */
export function enqueue(
	state: AdmissionState,
	request: QueuedRequest,
): AdmissionState {
	const {customer, id} = request;
	const queue = getQueue(state, customer);
	const position = queue.requests.findIndex(
		(other) => compareOrdered(request, other) < 0,
	);
	const index = position === -1 ? queue.requests.length : position;
	const virtualTime =
		queue.requests.length === 0
			? enterQueue(queue.virtualTime, state.virtualTime)
			: queue.virtualTime;
	const requests = queue.requests.toSpliced(index, 0, request);
	return {
		...state,
		customers: state.customers.set(customer, {virtualTime, requests}),
		customerByRequest: state.customerByRequest.set(id, customer),
	};
}

/** Removes a waiting request. */
export function dequeue(state: AdmissionState, id: string): AdmissionState {
	const customer = state.customerByRequest.get(id);
	if (customer === undefined) {
		return state;
	}

	const queue = getQueue(state, customer);
	const requests = queue.requests.filter((other) => other.id !== id);
	return removeIfIdle(
		{
			...state,
			customers: state.customers.set(customer, {...queue, requests}),
			customerByRequest: state.customerByRequest.delete(id),
		},
		customer,
	);
}

/** Advances the customer's virtual time by the cost of started work over its share. */
export function chargeCustomer(
	state: AdmissionState,
	request: QueuedRequest,
): AdmissionState {
	const {customer, cost} = request;
	const queue = getQueue(state, customer);
	const virtualTime = chargeWork(
		queue.virtualTime,
		cost,
		getShare(state, customer),
	);
	return {
		...state,
		virtualTime: Math.max(state.virtualTime, queue.virtualTime),
		customers: state.customers.set(customer, {...queue, virtualTime}),
	};
}

/** Removes a customer without requests whose virtual time is not ahead of the queue's. */
function removeIfIdle(state: AdmissionState, customer: string): AdmissionState {
	const queue = getQueue(state, customer);
	return queue.requests.length === 0 && queue.virtualTime <= state.virtualTime
		? {...state, customers: state.customers.delete(customer)}
		: state;
}
