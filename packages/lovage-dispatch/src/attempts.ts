import type {RouteKind} from '@lovagevalve/routing';

/** Why an attempt at one backend server produced no answer for the caller. */
export type AttemptFailure =
	/** No byte of the request was written. */
	| Readonly<{
			kind: 'not-sent';
			reason: string;
			/** The cause says nothing about whether the backend server accepts connections. */
			isBlameless?: true;
	  }>
	/** The backend server reported that it did not run the request. */
	| Readonly<{kind: 'rejected'; reason: string}>
	/** The request was written and may have run. */
	| Readonly<{
			kind: 'lost';
			reason: string;
			/** The backend server sent more than an answer can hold; it has not crashed. */
			isFlood?: true;
	  }>
	/** The backend server ran the request and reported a failure, or its answer can't be used. */
	| Readonly<{
			kind: 'failed';
			reason: string;
			/** The cause is no fault of the backend server. */
			isBlameless?: true;
	  }>;

/** State of a request after a failed attempt. */
export type RetryInputs = Readonly<{
	/** Whether the request may run more than once. */
	isRepeatable: boolean;
	failure: AttemptFailure;
	/** Number of backend servers that the request was sent to. */
	sent: number;
	/** Number of attempts, including those that sent nothing. */
	attempts: number;
	maxAttempts: number;
	/** The request is known to crash the backend servers that run it. */
	isQuarantined: boolean;
	/** Number of backend servers whose crash the request may have caused. */
	deaths: number;
	remainingMs: number;
	hasBudget: boolean;
	/** Whether the caller can wait until the budget allows another attempt. */
	canWait?: boolean;
}>;

/** What to do with a request after a failed attempt. */
export type RetryDecision =
	| Readonly<{kind: 'retry'}>
	/** Only the budget is missing; to be decided again later. */
	| Readonly<{kind: 'wait'}>
	/** The request has not run and will not run. */
	| Readonly<{kind: 'refuse'}>
	/** The request may have run. */
	| Readonly<{kind: 'fail'}>;

/** Limits attempts that sent nothing, which don't count towards `maxAttempts`. */
const MAX_TOTAL_ATTEMPTS = 6;
/** Shortest time that is enough to connect and receive an answer. */
const MIN_REMAINING_MS = 30;
/** Crashes after which the request itself may be the cause, so it is not retried. */
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
 * Decides whether a request is retried after a failed attempt. Whether it may
 * run again depends only on the route's kind, on whether bytes were written and
 * on whether the backend server reported that it did not run. `hasRun` is true
 * if an earlier attempt may have run it.
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
		inputs.attempts < MAX_TOTAL_ATTEMPTS &&
		!inputs.isQuarantined &&
		inputs.deaths < MAX_BACKEND_DEATHS &&
		inputs.remainingMs > MIN_REMAINING_MS;
	if (isAllowed && (inputs.hasBudget || failure.kind === 'not-sent')) {
		return {kind: 'retry'};
	}

	if (isAllowed && inputs.canWait) {
		return {kind: 'wait'};
	}

	return isUnknown ? {kind: 'fail'} : {kind: 'refuse'};
}
