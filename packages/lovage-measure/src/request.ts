import type {GenerationState} from '@lovagevalve/generation';
import type {AttemptAccount} from './account.js';
import type {Connection} from './engine.js';

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
export type Live = {
	request: Request;
	state: GenerationState;
	delivered: number;
	isSpliced: boolean;
	backend: string | undefined;
	/** Incarnation of the backend server when the attempt started. */
	incarnation: number;
	connections: Map<number, Connection>;
	attempts: AttemptAccount[];
	leftAlive: boolean;
	hasTimer: boolean;
};
