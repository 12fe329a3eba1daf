import {
	callRpc,
	createControlClient,
	type ControlClient,
	type Redirect,
	type RpcError,
	type RpcPool,
} from '@lovagevalve/wire';
import {err, ok, type Result, type ResultAsync} from 'neverthrow';
import type {Host} from './host.js';
import {
	createSearch,
	stepSearch,
	type SearchEvent,
	type SearchState,
} from './leader-search.js';
import {createError, type CommandError} from './outcome.js';

const CALL_TIMEOUT_MS = 2000;

// Errors that a retry cannot resolve.
const NON_RETRYABLE_CODES: ReadonlySet<string> = new Set([
	'BAD_REQUEST',
	'NOT_FOUND',
	'METHOD_NOT_SUPPORTED',
	'PAYLOAD_TOO_LARGE',
]);

/** A single RPC to a control instance. */
export type ControlCall<T> = (
	client: ControlClient,
	signal: AbortSignal,
) => Promise<T>;

/** RPCs to the control group. */
export type ControlSession = Readonly<{
	addresses: readonly string[];
	/** Calls one instance without retries. */
	callInstance: <T>(
		address: string,
		call: ControlCall<T>,
	) => ResultAsync<T, RpcError>;
	/**
	 * Retries until the leader responds or `timeoutMs` has elapsed. The call
	 * must be idempotent, as it may be sent several times.
	 */
	callLeader: <T extends {kind: string}>(
		call: ControlCall<T>,
		timeoutMs: number,
	) => Promise<Result<Exclude<T, Redirect>, CommandError>>;
}>;

function isRedirect(answer: {kind: string}): answer is Redirect {
	return answer.kind === 'not-leader' || answer.kind === 'unavailable';
}

/** Creates a session with the control instances at the given addresses. */
export function createControlSession(
	addresses: readonly string[],
	pool: RpcPool,
	host: Host,
): ControlSession {
	const callInstance = <T>(address: string, call: ControlCall<T>) => {
		const client = createControlClient(address, pool);
		return callRpc(async (signal) => call(client, signal), CALL_TIMEOUT_MS);
	};

	const getSearchInputs = () => ({now: host.now(), random: host.random()});

	const search = async <T extends {kind: string}>(
		state: SearchState,
		event: SearchEvent,
		call: ControlCall<T>,
	): Promise<Result<Exclude<T, Redirect>, CommandError>> => {
		const transition = stepSearch(state, event);
		const effect = transition.effects[0]!;
		if (effect.kind === 'give-up') {
			const reason = transition.state.lastFailure;
			return err(
				createError(
					'unavailable',
					`no response from the control leader: ${reason}`,
				),
			);
		}

		await host.sleep(effect.pauseMs);
		const answer = await callInstance(effect.address, call);
		if (answer.isErr()) {
			const message = `${effect.address}: ${answer.error.message}`;
			return NON_RETRYABLE_CODES.has(answer.error.code ?? '')
				? err(createError('failed', message))
				: search(
						transition.state,
						{kind: 'failed', message, ...getSearchInputs()},
						call,
					);
		}

		const {value} = answer;
		return isRedirect(value)
			? search(
					transition.state,
					{kind: 'redirected', redirect: value, ...getSearchInputs()},
					call,
				)
			: ok(value as Exclude<T, Redirect>);
	};

	return {
		addresses,
		callInstance,
		callLeader: async (call, timeoutMs) =>
			search(
				createSearch(addresses, host.now() + timeoutMs),
				{kind: 'begin', ...getSearchInputs()},
				call,
			),
	};
}
