import {setTimeout as delay} from 'node:timers/promises';

const POLL_INTERVAL_MS = 25;
const DEFAULT_TIMEOUT_MS = 20_000;

/**
 * Polls `condition` until it returns a value other than undefined or false, and
 * returns that value. Throws an error with the description after the timeout.
 */
export async function waitFor<T>(
	description: string,
	condition: () => Promise<T | undefined | false> | T | undefined | false,
	timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<T> {
	const deadline = performance.now() + timeoutMs;

	const poll = async (): Promise<T> => {
		const value = await condition();
		if (value !== undefined && value !== false) {
			return value;
		}

		if (performance.now() > deadline) {
			throw new Error(
				`Timed out after ${timeoutMs} ms waiting for ${description}`,
			);
		}

		await delay(POLL_INTERVAL_MS);
		return poll();
	};

	return poll();
}
