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

/** Path of the tRPC routers. */
export const RPC_PATH = '/rpc';

/** An RPC that failed or timed out. */
export type RpcError = Readonly<{
	kind: 'rpc-failed';
	message: string;
	/** Error code of tRPC, such as `BAD_REQUEST`, if the server responded. */
	code?: string;
}>;

/**
 * Size of the largest RPC or answer, in bytes: a configuration as a text in JSON takes up
 * to twice its size. Other appends and pieces of snapshots have up to 262,144 characters.
 */
export const MAX_RPC_BYTES = 33_554_432;

/** Connection pool for RPCs, shared by all clients of a program. */
export type RpcPool = Readonly<{
	agent: Agent;
	/** Closes all connections immediately. */
	close: () => Promise<void>;
}>;

/**
 * Creates a pool of persistent connections with one request at a time on each.
 */
export function createRpcPool(): RpcPool {
	const agent = new Agent({
		// The value 1 means keep-alive without pipelining.
		// A value of 0 would open a connection for each request.
		pipelining: 1,
		connections: 16,
		connect: {timeout: 1000},
		maxResponseSize: MAX_RPC_BYTES,
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

/**
 * Creates a signal that aborts after `timeoutMs`, rounded up to whole
 * milliseconds.
 */
export function createDeadline(timeoutMs: number): AbortSignal {
	return AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
}

/**
 * Runs an RPC with a timeout. The connection of an RPC that times out is
 * closed.
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
