import {Map as ImmutableMap} from 'immutable';
import type {Transition} from '@lovagevalve/core';
import {createBudget, type RetryBudget} from './budget.js';
import {UNKNOWN_PACE, type QueuePace} from './pace.js';
import type {AdmissionEffect, ResumedRequest, WaitingRequest} from './types.js';

/** Protective rules; only the specification and tests disable any of them. */
export type AdmissionGuards = Readonly<{
	/** A full queue refuses or evicts a request. */
	lengthLimit: boolean;
	/** Customers get capacity in proportion to their shares. */
	fairShares: boolean;
	/** One in `oldestEvery` starts takes the request that has waited longest. */
	oldestFirst: boolean;
	/** Repeated extra attempts are charged to the retry budget. */
	retryBudget: boolean;
	/** Requests resumed after a lost attempt start before new ones. */
	resumedFirst: boolean;
}>;

/** All rules enabled. */
export const ALL_GUARDS: AdmissionGuards = {
	lengthLimit: true,
	fairShares: true,
	oldestFirst: true,
	retryBudget: true,
	resumedFirst: true,
};

/** Settings of the queue of one service. */
export type AdmissionOptions = Readonly<{
	/** Maximum number of waiting new requests. */
	queueLength: number;
	/** Maximum number of waiting resumed requests. */
	resumedLength: number;
	/** Allowed extra attempts as a fraction of first attempts. */
	retryShare: number;
	/** Relative share of each customer; 1 if not listed. */
	shares: Readonly<Record<string, number>>;
	/** One in this many starts takes the request that has waited longest. */
	oldestEvery: number;
	guards?: AdmissionGuards;
}>;

/** A waiting request with its arrival time and order. */
export type QueuedRequest = WaitingRequest &
	Readonly<{arrivedAt: number; order: number}>;

/** A resumed or returned request that waits for a slot. */
export type QueuedResumedRequest = ResumedRequest &
	Readonly<{
		/** Whether its start is charged to the retry budget. */
		needsBudget: boolean;
		/** Monotonic time before which it does not start. */
		notBefore: number;
	}>;

/** Waiting requests of one customer in start order. */
export type CustomerQueue = Readonly<{
	/** Virtual time, as in weighted fair queueing: cost of started work over the share. */
	virtualTime: number;
	requests: readonly QueuedRequest[];
}>;

/** State of the queue of one service; its size is bounded by the options. */
export type AdmissionState = Readonly<{
	options: AdmissionOptions;
	guards: AdmissionGuards;
	freeSlots: number;
	customers: ImmutableMap<string, CustomerQueue>;
	/** Customer of each waiting request. */
	customerByRequest: ImmutableMap<string, string>;
	resumed: readonly QueuedResumedRequest[];
	/** Virtual time of the queue; the start value of a newly active customer. */
	virtualTime: number;
	/** Number of arrivals so far. */
	order: number;
	/** Number of new requests started so far. */
	startCount: number;
	budget: RetryBudget;
	pace: QueuePace;
}>;

/** New state of the queue of one service with the effects to run. */
export type AdmissionTransition = Transition<AdmissionState, AdmissionEffect>;

/** Creates an empty queue for one service. */
export function createAdmission(options: AdmissionOptions): AdmissionState {
	return {
		options,
		guards: options.guards ?? ALL_GUARDS,
		freeSlots: 0,
		customers: ImmutableMap(),
		customerByRequest: ImmutableMap(),
		resumed: [],
		virtualTime: 0,
		order: 0,
		startCount: 0,
		budget: createBudget(),
		pace: UNKNOWN_PACE,
	};
}

/** Returns the relative share of a customer. */
export function getShare(state: AdmissionState, customer: string): number {
	return state.options.shares[customer] ?? 1;
}
