import {chargeWork, enterQueue} from './fair-share.js';
import {compareOrdered, isOldestTurn} from './order.js';
import type {StartInput, StartRequest, StartState} from './start-types.js';

/**
 * One in this many starts takes the request that has waited longest, so that a flood
 * of a higher priority leaves the others a part; 6% less for the highest.
 */
const OLDEST_EVERY = 16;
/** Customers whose virtual time is kept at most; others begin at the time of the queue again. */
const MAX_CUSTOMERS = 1000;

/** Place of a request in the queue at one moment. */
type Place = Readonly<{
	request: StartRequest;
	isLate: boolean;
	virtualTime: number;
}>;

/** Time to process a request's prompt on an idle engine, in milliseconds. */
export function readPromptMs(
	{promptTokens}: Pick<StartRequest, 'promptTokens'>,
	{tokensPerMs}: Pick<StartInput, 'tokensPerMs'>,
): number {
	return tokensPerMs === undefined ? 0 : promptTokens / tokensPerMs;
}

/** Whether the first event can't be on time, even on an idle engine. */
export function isLate(request: StartRequest, input: StartInput): boolean {
	return input.now + readPromptMs(request, input) > request.targetAt;
}

function toOrdered(request: StartRequest, input: StartInput) {
	return {
		priority: -request.priority,
		deadline: request.targetAt - readPromptMs(request, input),
		order: request.order,
	};
}

function toShareKey({priority, customer}: StartRequest): string {
	return `${priority} ${customer}`;
}

function readVirtualTime(state: StartState, request: StartRequest): number {
	return enterQueue(
		state.virtualTimes.get(toShareKey(request)) ?? 0,
		state.queueTimes[request.priority] ?? 0,
	);
}

function comparePlaces(left: Place, right: Place, input: StartInput): number {
	const a = left.request;
	const b = right.request;
	if (a.resumedAfterMs !== undefined || b.resumedAfterMs !== undefined) {
		// The one that has run longest is nearest its end.
		return (
			(b.resumedAfterMs ?? -1) - (a.resumedAfterMs ?? -1) || a.order - b.order
		);
	}

	return (
		Number(left.isLate) - Number(right.isLate) ||
		a.priority - b.priority ||
		left.virtualTime - right.virtualTime ||
		compareOrdered(toOrdered(a, input), toOrdered(b, input))
	);
}

/**
 * Orders requests: resumed ones, then those that can be on time by priority, customer
 * and latest start, then the late ones likewise.
 */
export function orderRequests(
	state: StartState,
	requests: readonly StartRequest[],
	input: StartInput,
): readonly StartRequest[] {
	return requests
		.map((request): Place => ({
			request,
			isLate: isLate(request, input),
			virtualTime: readVirtualTime(state, request),
		}))
		.toSorted((left, right) => comparePlaces(left, right, input))
		.map(({request}) => request);
}

/** Moves the new request that has waited longest to the front, if it is its turn. */
export function applyOldestTurn(
	{startCount}: StartState,
	ordered: readonly StartRequest[],
	input: StartInput,
): readonly StartRequest[] {
	const oldest = isOldestTurn(startCount, OLDEST_EVERY)
		? ordered
				.filter(
					(request) =>
						request.resumedAfterMs === undefined && !isLate(request, input),
				)
				.reduce<StartRequest | undefined>(
					(first, request) =>
						first === undefined || request.order < first.order
							? request
							: first,
					undefined,
				)
		: undefined;
	return oldest === undefined
		? ordered
		: [oldest, ...ordered.filter((request) => request !== oldest)];
}

/** Records a start; resumed streams were charged when they first started. */
export function recordStarted(
	state: StartState,
	request: StartRequest,
	shares: StartInput['shares'] = {},
): StartState {
	const {customer, priority, memoryTokens, resumedAfterMs} = request;
	if (resumedAfterMs !== undefined) {
		return state;
	}

	const begin = readVirtualTime(state, request);
	const queueTimes = [...state.queueTimes];
	queueTimes[priority] = begin;
	const share = Object.hasOwn(shares, customer) ? shares[customer]! : 1;
	const virtualTimes = new Map(
		state.virtualTimes.size < MAX_CUSTOMERS ? state.virtualTimes : [],
	);
	return {
		...state,
		virtualTimes: virtualTimes.set(
			toShareKey(request),
			chargeWork(begin, memoryTokens, share),
		),
		queueTimes,
		startCount: state.startCount + 1,
	};
}
