import {Map as ImmutableMap} from 'immutable';
import type {Transition} from '@lovagevalve/core';
import {createBudget, type RetryBudget} from './budget.js';
import {UNKNOWN_PACE, type QueuePace} from './pace.js';
import type {AdmissionEffect, ResumedRequest, WaitingRequest} from './types.js';

/** Protecting rules; only the specification and tests switch one off. */
export type AdmissionGuards = Readonly<{
	/** A full queue refuses. */
	lengthLimit: boolean;
	/** Customers get capacity by their shares. */
	fairShares: boolean;
	/** One start in `oldestEvery` goes to the request that waited longest. */
	oldestFirst: boolean;
	/** Repeated attempts take from the budget. */
	retryBudget: boolean;
	/** Work that goes on after a loss goes before new work. */
	resumedFirst: boolean;
}>;

/** Every rule in force. */
export const ALL_GUARDS: AdmissionGuards = {
	lengthLimit: true,
	fairShares: true,
	oldestFirst: true,
	retryBudget: true,
	resumedFirst: true,
};

/** Settings of the queue of one service. */
export type AdmissionOptions = Readonly<{
	/** New requests that may wait. */
	queueLength: number;
	/** Resumed requests that may wait. */
	resumedLength: number;
	/** Extra attempts allowed, as a share of the first attempts. */
	retryShare: number;
	/** Relative share of each customer; 1 unless named. */
	shares: Readonly<Record<string, number>>;
	/** One start in so many goes to the request that waited longest. */
	oldestEvery: number;
	guards?: AdmissionGuards;
}>;

/** A waiting request with its arrival. */
export type QueuedRequest = WaitingRequest &
	Readonly<{arrivedAt: number; order: number}>;

/** Work that waits to go on. */
export type QueuedResumedRequest = ResumedRequest &
	Readonly<{needsBudget: boolean; notBefore: number}>;

/** The requests of one customer, next first. */
export type CustomerQueue = Readonly<{
	/** Work started so far over the share, on the service's virtual clock. */
	virtualTime: number;
	requests: readonly QueuedRequest[];
}>;

/** State of the queue of one service; bounded by its options. */
export type AdmissionState = Readonly<{
	options: AdmissionOptions;
	guards: AdmissionGuards;
	freeSlots: number;
	customers: ImmutableMap<string, CustomerQueue>;
	/** Customer of each waiting request. */
	customerByRequest: ImmutableMap<string, string>;
	resumed: readonly QueuedResumedRequest[];
	virtualTime: number;
	/** Arrivals so far. */
	order: number;
	/** Starts of new requests so far. */
	startCount: number;
	budget: RetryBudget;
	pace: QueuePace;
}>;

/** Transition of the queue of one service. */
export type AdmissionTransition = Transition<AdmissionState, AdmissionEffect>;

/** Creates the empty queue of one service. */
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
