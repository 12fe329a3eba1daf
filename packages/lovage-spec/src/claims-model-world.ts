import {
	type ClaimCommand,
	type ClaimRequest,
	type ClaimsState,
	createClaims,
	createDispatch,
	type DispatchEvent,
	type DispatchState,
} from '@lovagevalve/claims';
import type {ModelEvent} from './explore.js';

/** How long the claims table keeps the state of a claim, in milliseconds. */
export const RETENTION_MS = 1000;
/** Time within which a granted claim must be dispatched, in milliseconds. */
export const DISPATCH_WINDOW_MS = 2000;
const CLAIM_LIMITS = {
	records: 10,
	spentIds: 20,
	answerBytes: 10_000,
	dispatchWithinMs: DISPATCH_WINDOW_MS,
};

/**
 * A command in flight to the control group, and whether the arrival awaits its
 * answer.
 */
type PendingCommand = Readonly<{command: ClaimCommand; isAwaited: boolean}>;

/** One arrival of a request at an entry. */
export type Arrival = Readonly<{
	dispatch: DispatchState;
	sent: readonly PendingCommand[];
	/** Whether the dispatch window has closed. */
	isLate: boolean;
}>;

/** Highest attempt reported to a caller, by kind of reply; 0 for none. */
type ReportedAttempts = Readonly<{notRun: number; unknown: number}>;

/**
 * The arrivals at two entries, their commands in flight and the claims table.
 */
export type World = Readonly<{
	claims: ClaimsState;
	arrivals: readonly Arrival[];
	/** Arrivals that wrote the request to a backend server, in order. */
	writes: readonly number[];
	told: ReportedAttempts;
	isRetentionOver: boolean;
	/** A settlement sent again because its answer was lost. */
	duplicate?: ClaimCommand;
	isDuplicated: boolean;
	violation?: string;
}>;

/** An event of the model. */
export type WorldEvent = ModelEvent &
	(
		| Readonly<{
				type: 'arrival';
				arrival: number;
				event: DispatchEvent;
				what: string;
		  }>
		| Readonly<{
				type: 'group applies';
				arrival: number;
				command: string;
				i: number;
				answer: 'arrives' | 'is not awaited';
				isDuplicated: boolean;
		  }>
		| Readonly<{type: 'duplicate settlement arrives'}>
		| Readonly<{type: 'dispatch time passes'; arrival: number}>
		| Readonly<{type: 'claim lapses'; claim: string}>
		| Readonly<{type: 'retention passes'}>
	);

function createRequest(
	entry: string,
	attempt: number,
	digest: string,
): ClaimRequest {
	const name = {customer: 'c', requestId: 'r', incarnation: 'i'};
	return {...name, entry, attempt, digest, copy: `${entry}${attempt}${digest}`};
}

/** A request, its resend to another entry, and the next attempt. */
export const RESEND_REQUESTS = [
	createRequest('entry-1', 1, 'body'),
	createRequest('entry-2', 1, 'body'),
	createRequest('entry-2', 2, 'body'),
];

/** Two requests with the same id and different bodies. */
export const CONFLICTING_REQUESTS = [
	createRequest('entry-1', 1, 'body'),
	createRequest('entry-2', 1, 'other body'),
];

/** Creates the state before the first arrival. */
export function createInitialWorld(requests: readonly ClaimRequest[]): World {
	return {
		claims: createClaims(CLAIM_LIMITS),
		arrivals: requests.map((request) => ({
			dispatch: createDispatch(request),
			sent: [],
			isLate: false,
		})),
		writes: [],
		told: {notRun: 0, unknown: 0},
		isRetentionOver: false,
		isDuplicated: false,
	};
}
