import type {RouteKind} from '@lovagevalve/routing';

/** How one try at a backend server ended without an answer for the caller. */
export type AttemptFailure =
	/** No byte of the request was written. */
	| Readonly<{kind: 'not-sent'; reason: string}>
	/** The backend server says that it did not run the request. */
	| Readonly<{kind: 'rejected'; reason: string}>
	/** The request was written and may have run. */
	| Readonly<{kind: 'lost'; reason: string}>
	/** The backend server's own failure, after it ran the request. */
	| Readonly<{kind: 'failed'; reason: string}>;

/** What is known when a try has failed. */
export type RetryInputs = Readonly<{
	/** Whether the request may run more than once. */
	isRepeatable: boolean;
	failure: AttemptFailure;
	/** Backend servers that were sent the request. */
	sent: number;
	/** Tries, also those that wrote nothing. */
	tries: number;
	maxAttempts: number;
	/** Backend servers that died while they held the request. */
	deaths: number;
	remainingMs: number;
	hasBudget: boolean;
}>;

/** What happens next to a request. */
export type RetryDecision =
	| Readonly<{kind: 'retry'}>
	/** Not run, and never will be. */
	| Readonly<{kind: 'refuse'}>
	/** It may have run. */
	| Readonly<{kind: 'fail'}>;

/** Tries that wrote nothing are free but not endless. */
const MAX_TOTAL_ATTEMPTS = 6;
/** Less is not enough for a connection and an answer. */
const MIN_REMAINING_MS = 30;
/** A request that outlived two backend servers is a suspect. */
const MAX_BACKEND_DEATHS = 2;

function mayHaveRun(failure: AttemptFailure): boolean {
	return failure.kind === 'lost' || failure.kind === 'failed';
}

/** Whether requests of this kind may run more than once. */
export function isRepeatable(kind: RouteKind, isResumable: boolean): boolean {
	switch (kind) {
		case 'idempotent': {
			return true;
		}

		case 'stream': {
			return isResumable;
		}

		case 'non-idempotent': {
			return false;
		}
	}
}

/**
 * Decides on a request after a failed try. Only the kind of the route, the
 * bytes written and the backend server's own word tell whether it may run
 * again. `hasRun` covers earlier tries of the same request.
 */
export function decideRetry(
	inputs: RetryInputs,
	hasRun: boolean,
): RetryDecision {
	const {failure, isRepeatable} = inputs;
	const isUnknown = hasRun || mayHaveRun(failure);
	const isAllowed =
		(isRepeatable || !isUnknown) &&
		inputs.sent < inputs.maxAttempts &&
		inputs.tries < MAX_TOTAL_ATTEMPTS &&
		inputs.deaths < MAX_BACKEND_DEATHS &&
		inputs.remainingMs > MIN_REMAINING_MS &&
		(inputs.hasBudget || failure.kind === 'not-sent');
	if (isAllowed) {
		return {kind: 'retry'};
	}

	return isUnknown ? {kind: 'fail'} : {kind: 'refuse'};
}
