import type {WaitingRequest} from '@lovagevalve/admission';
import type {GenerationState} from '@lovagevalve/generation';
import type {AttemptWork} from './account.js';
import type {Connection} from './engine.js';

/**
 * Estimated generation time per token, from which admission gets the duration.
 */
const ESTIMATED_TOKEN_MS = 27;

/** A request of a caller. */
export type Request = Readonly<{
	id: string;
	customer: string;
	digest: string;
	arrivedAt: number;
	deadlineAt?: number;
	promptTokens: number;
	family: string;
	total: number;
	isKiller: boolean;
	/** Whether the customer is the one that sends the overnight batch. */
	isOfBatchCustomer: boolean;
}>;

/** State of a request at its entry. */
export type LiveRequest = {
	request: Request;
	state: GenerationState;
	delivered: number;
	/** Whether delivered tokens did not continue at the right offset. */
	hasOffsetMismatch: boolean;
	backend: string | undefined;
	/** Incarnation of the backend server when the attempt started. */
	incarnation: number;
	connections: Map<number, Connection>;
	attempts: AttemptWork[];
	/** Whether the last attempt was abandoned while its engine still ran it. */
	wasLeftAlive: boolean;
	hasTimer: boolean;
};

/** Creates the state of a request before its first attempt. */
export function createLiveRequest(
	request: Request,
	state: GenerationState,
): LiveRequest {
	return {
		request,
		state,
		delivered: 0,
		hasOffsetMismatch: false,
		backend: undefined,
		incarnation: 0,
		connections: new Map(),
		attempts: [],
		wasLeftAlive: false,
		hasTimer: false,
	};
}

/** Creates the request in the form that admission expects. */
export function createWaitingRequest(request: Request): WaitingRequest {
	return {
		id: request.id,
		customer: request.customer,
		priority: 0,
		deadline: request.deadlineAt,
		cost: request.total,
		durationMs: request.total * ESTIMATED_TOKEN_MS,
	};
}
