import {setTimeout as delay} from 'node:timers/promises';
import {readBounded} from '@lovagevalve/runtime';
import {createDeadline, engineStatusSchema} from '@lovagevalve/wire';
import {ResultAsync} from 'neverthrow';
import {Client} from 'undici';

const CANCEL_TIMEOUT_MS = 1000;
const CANCEL_RETRY_MS = 1000;
const MAX_STATUS_BYTES = 65_536;

/** Identifies an attempt and the engine that runs it. */
export type AttemptAddress = Readonly<{
	address: string;
	generation: string;
	attempt: number;
}>;

/**
 * Result of a probe: whether the engine holds the attempt, and how many tokens
 * it has produced.
 */
export type ProbeResult = Readonly<{held: boolean; length: number}>;

/** The request failed or timed out. */
export type ExchangeError = Readonly<{kind: 'exchange-failed'}>;

async function exchange<T>(
	address: string,
	timeoutMs: number,
	run: (client: Client, signal: AbortSignal) => Promise<T>,
): Promise<T> {
	const client = new Client(address, {
		connect: {timeout: timeoutMs},
		pipelining: 1,
	});
	try {
		return await run(client, createDeadline(timeoutMs));
	} finally {
		void client.destroy();
	}
}

/** Checks over a new connection whether an engine still holds an attempt. */
export function probeAttempt(
	{address, generation, attempt}: AttemptAddress,
	timeoutMs: number,
): ResultAsync<ProbeResult, ExchangeError> {
	const sendProbe = async (): Promise<ProbeResult> => {
		const path = `/v1/generations/${encodeURIComponent(generation)}`;
		return exchange(address, timeoutMs, async (client, signal) => {
			const res = await client.request({method: 'GET', path, signal});
			if (res.statusCode === 404) {
				return {held: false, length: 0};
			}

			const answer = await readBounded(res.body, MAX_STATUS_BYTES);
			const status = engineStatusSchema.parse(
				JSON.parse(new TextDecoder().decode(answer)),
			);
			return {held: status.attempt === attempt, length: status.length};
		});
	};

	return ResultAsync.fromPromise(sendProbe(), () => ({
		kind: 'exchange-failed',
	}));
}

async function sendCancel(attempt: AttemptAddress): Promise<boolean> {
	try {
		const id = encodeURIComponent(attempt.generation);
		const path = `/v1/generations/${id}?attempt=${attempt.attempt}`;
		return await exchange(
			attempt.address,
			CANCEL_TIMEOUT_MS,
			async (client, signal) => {
				const res = await client.request({method: 'DELETE', path, signal});
				await res.body.dump();
				return res.statusCode < 500;
			},
		);
	} catch {
		return false;
	}
}

/**
 * Cancels an attempt, retrying until the engine acknowledges it or `retryUntil`
 * has passed.
 */
export async function cancelAttempt(
	attempt: AttemptAddress,
	retryUntil: number,
): Promise<void> {
	const isAcknowledged = await sendCancel(attempt);
	if (isAcknowledged || performance.now() >= retryUntil) {
		return;
	}

	await delay(CANCEL_RETRY_MS, undefined, {ref: false});
	await cancelAttempt(attempt, retryUntil);
}
