import type {WaitingRequest} from '@lovagevalve/admission';
import type {GenerationState} from '@lovagevalve/generation';
import type {AttemptWork} from './account.js';
import type {Connection} from './engine.js';

const ESTIMATED_TOKEN_MS = 27;

/** What a caller asks for. */
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
	/** Whether its customer sends the overnight batch. */
	isOfBatchCustomer: boolean;
}>;

/** A request as its entry runs it. */
export type LiveRequest = {
	request: Request;
	state: GenerationState;
	delivered: number;
	hasOffsetMismatch: boolean;
	backend: string | undefined;
	/** Incarnation of the backend server when the attempt started. */
	incarnation: number;
	connections: Map<number, Connection>;
	attempts: AttemptWork[];
	wasLeftAlive: boolean;
	hasTimer: boolean;
};

/** Creates a request that waits for its first attempt. */
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

/** Creates the request as the queue gets it. */
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
