import {setTimeout as delay} from 'node:timers/promises';
import {
	callRpc,
	createControlClient,
	type ControlClient,
	type Redirect,
	type RpcPool,
} from '@lovagevalve/wire';

const EXCHANGE_TIMEOUT_MS = 700;
const RETRY_DELAY_MS = 50;

/** Answer other than a redirect. */
export type NonRedirect<T> = Exclude<T, Redirect>;

/** One RPC to a control instance. */
export type ControlExchange<T> = (
	client: ControlClient,
	signal: AbortSignal,
) => Promise<T>;

/** Sends RPCs to the leader of the control group. */
export type ControlGroupClient = Readonly<{
	/**
	 * Tries the control instances in turn, following redirects to the leader,
	 * until one answers or `totalTimeoutMs` has passed. The exchange must be
	 * idempotent. Resolves to undefined on timeout.
	 */
	call: <T extends {kind: string}>(
		exchange: ControlExchange<T>,
		totalTimeoutMs: number,
	) => Promise<NonRedirect<T> | undefined>;
}>;

function isRedirect(answer: {kind: string}): answer is Redirect {
	return answer.kind === 'not-leader' || answer.kind === 'unavailable';
}

/** Creates a client of the control instances at these addresses. */
export function createControlGroupClient(
	addresses: readonly string[],
	pool: RpcPool,
): ControlGroupClient {
	const clients = new Map<string, ControlClient>();
	let currentAddress = addresses[0]!;

	const getClient = (address: string): ControlClient => {
		const client = clients.get(address) ?? createControlClient(address, pool);
		clients.set(address, client);
		return client;
	};

	const selectNext = (from: string, leader?: string): void => {
		const next = (addresses.indexOf(from) + 1) % addresses.length;
		currentAddress =
			leader !== undefined && addresses.includes(leader)
				? leader
				: addresses[next]!;
	};

	const callOnce = async <T extends {kind: string}>(
		exchange: ControlExchange<T>,
		timeoutMs: number,
	): Promise<NonRedirect<T> | undefined> => {
		const address = currentAddress;
		const client = getClient(address);
		const answer = await callRpc(
			async (signal) => exchange(client, signal),
			timeoutMs,
		);
		if (answer.isErr()) {
			selectNext(address);
			return undefined;
		}

		if (isRedirect(answer.value)) {
			const redirect: Redirect = answer.value;
			selectNext(
				address,
				redirect.kind === 'not-leader' ? redirect.leader : undefined,
			);
			return undefined;
		}

		return answer.value as NonRedirect<T>;
	};

	return {
		async call(exchange, totalTimeoutMs) {
			const deadline = performance.now() + totalTimeoutMs;
			let remaining = totalTimeoutMs;
			while (remaining > 0) {
				const timeoutMs = Math.min(EXCHANGE_TIMEOUT_MS, remaining);
				// Each attempt depends on the redirect of the previous one.
				// eslint-disable-next-line no-await-in-loop
				const answer = await callOnce(exchange, timeoutMs);
				if (answer) {
					return answer;
				}

				// eslint-disable-next-line no-await-in-loop
				await delay(RETRY_DELAY_MS);
				remaining = deadline - performance.now();
			}

			return undefined;
		},
	};
}
