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

const EXCHANGE_TIMEOUT_MS = 2000;

// Answers that stay the same however often the exchange is repeated.
const FINAL_CODES: ReadonlySet<string> = new Set([
	'BAD_REQUEST',
	'NOT_FOUND',
	'METHOD_NOT_SUPPORTED',
	'PAYLOAD_TOO_LARGE',
]);

/** One exchange with a control instance. */
export type Exchange<T> = (
	client: ControlClient,
	signal: AbortSignal,
) => Promise<T>;

/** Exchanges with the control group. */
export type ControlSession = Readonly<{
	addresses: readonly string[];
	/** Asks one instance, once. */
	askOne: <T>(
		address: string,
		exchange: Exchange<T>,
	) => ResultAsync<T, RpcError>;
	/**
	 * Asks until the leader gives an outcome or `timeoutMs` is over. The
	 * exchange may be repeated, so that it must be idempotent.
	 */
	askLeader: <T extends {kind: string}>(
		exchange: Exchange<T>,
		timeoutMs: number,
	) => Promise<Result<Exclude<T, Redirect>, CommandError>>;
}>;

function isRedirect(answer: {kind: string}): answer is Redirect {
	return answer.kind === 'not-leader' || answer.kind === 'unavailable';
}

/** Creates a session over the addresses that the operator gave. */
export function createControlSession(
	addresses: readonly string[],
	pool: RpcPool,
	host: Host,
): ControlSession {
	const askOne = <T>(address: string, exchange: Exchange<T>) => {
		const client = createControlClient(address, pool);
		return callRpc(
			async (signal) => exchange(client, signal),
			EXCHANGE_TIMEOUT_MS,
		);
	};

	const readTimes = () => ({now: host.now(), random: host.random()});

	const search = async <T extends {kind: string}>(
		state: SearchState,
		event: SearchEvent,
		exchange: Exchange<T>,
	): Promise<Result<Exclude<T, Redirect>, CommandError>> => {
		const transition = stepSearch(state, event);
		const effect = transition.effects[0]!;
		if (effect.kind === 'give-up') {
			const reason = transition.state.lastFailure;
			return err(
				createError('unavailable', `no control leader answered: ${reason}`),
			);
		}

		await host.sleep(effect.pauseMs);
		const answer = await askOne(effect.address, exchange);
		if (answer.isErr()) {
			const message = `${effect.address}: ${answer.error.message}`;
			return FINAL_CODES.has(answer.error.code ?? '')
				? err(createError('failed', message))
				: search(
						transition.state,
						{kind: 'failed', message, ...readTimes()},
						exchange,
					);
		}

		const {value} = answer;
		return isRedirect(value)
			? search(
					transition.state,
					{kind: 'redirected', redirect: value, ...readTimes()},
					exchange,
				)
			: ok(value as Exclude<T, Redirect>);
	};

	return {
		addresses,
		askOne,
		askLeader: async (exchange, timeoutMs) =>
			search(
				createSearch(addresses, host.now() + timeoutMs),
				{kind: 'begin', ...readTimes()},
				exchange,
			),
	};
}
