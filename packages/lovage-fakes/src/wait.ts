import {setTimeout as delay} from 'node:timers/promises';

const POLL_INTERVAL_MS = 25;
const DEFAULT_TIMEOUT_MS = 20_000;

/**
 * Waits until `condition` gives a value other than undefined or false, and
 * returns it; fails after the time-out, naming what was waited for.
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
			throw new Error(`Waited ${timeoutMs} ms for: ${description}`);
		}

		await delay(POLL_INTERVAL_MS);
		return poll();
	};

	return poll();
}
