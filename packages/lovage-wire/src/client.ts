import {
	createTRPCClient,
	httpLink,
	TRPCClientError,
	type TRPCClient,
} from '@trpc/client';
import {ResultAsync} from 'neverthrow';
import {Agent, fetch as undiciFetch} from 'undici';
import type {ControlRouter} from './control-api.js';
import type {EntryPeerRouter} from './entry-peer-api.js';

/** Path of the routers between the system's processes. */
export const RPC_PATH = '/rpc';

/** An exchange between processes that gave no answer in time. */
export type RpcError = Readonly<{
	kind: 'rpc-failed';
	message: string;
	/** Code of tRPC, such as `BAD_REQUEST`, when the other side answered. */
	code?: string;
}>;

/** Connections to the other processes, shared by one program. */
export type RpcPool = Readonly<{
	agent: Agent;
	/** Closes every connection at once. */
	close: () => Promise<void>;
}>;

/** Creates a pool of connections that are kept, with one exchange at a time. */
export function createRpcPool(): RpcPool {
	const agent = new Agent({
		// 1 keeps connections without pipelining; 0 would open one each time.
		pipelining: 1,
		connections: 16,
		connect: {timeout: 1000},
	});
	return {agent, close: async () => agent.destroy()};
}

function createRpcLink(address: string, pool: RpcPool) {
	const fetchWithPool = async (input: unknown, init: unknown) =>
		undiciFetch(input as string, {
			...(init as Record<string, unknown>),
			dispatcher: pool.agent,
		});
	return httpLink({
		url: `${address}${RPC_PATH}`,
		fetch: fetchWithPool as unknown as typeof fetch,
	});
}

/** Client of a control instance. */
export type ControlClient = TRPCClient<ControlRouter>;
/** Client of another entry. */
export type EntryPeerClient = TRPCClient<EntryPeerRouter>;

/** Creates a client of the control instance at `address`. */
export function createControlClient(
	address: string,
	pool: RpcPool,
): ControlClient {
	return createTRPCClient<ControlRouter>({
		links: [createRpcLink(address, pool)],
	});
}

/** Creates a client of the entry at `address`. */
export function createEntryPeerClient(
	address: string,
	pool: RpcPool,
): EntryPeerClient {
	return createTRPCClient<EntryPeerRouter>({
		links: [createRpcLink(address, pool)],
	});
}

function readErrorCode(err: unknown): string | undefined {
	if (!(err instanceof TRPCClientError)) {
		return undefined;
	}

	const data = err.data as {code?: unknown} | undefined;
	return typeof data?.code === 'string' ? data.code : undefined;
}

/** Signal that aborts after a time in milliseconds, rounded up. */
export function createDeadline(timeoutMs: number): AbortSignal {
	return AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
}

/**
 * Runs one exchange with a deadline in milliseconds. The connection of an
 * exchange that missed it is closed.
 */
export function callRpc<T>(
	exchange: (signal: AbortSignal) => Promise<T>,
	timeoutMs: number,
): ResultAsync<T, RpcError> {
	return ResultAsync.fromPromise(
		exchange(createDeadline(timeoutMs)),
		(err): RpcError => ({
			kind: 'rpc-failed',
			message: err instanceof Error ? err.message : String(err),
			code: readErrorCode(err),
		}),
	);
}
