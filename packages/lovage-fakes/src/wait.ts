import {setTimeout as delay} from 'node:timers/promises';

const POLL_MS = 25;
const TIMEOUT_MS = 20_000;

/**
 * Waits until `condition` gives a value other than undefined or false, and
 * returns it; fails after the time-out, naming what was waited for.
 */
export async function waitFor<T>(
	what: string,
	condition: () => Promise<T | undefined | false> | T | undefined | false,
	timeoutMs = TIMEOUT_MS,
): Promise<T> {
	const until = performance.now() + timeoutMs;

	const poll = async (): Promise<T> => {
		const value = await condition();
		if (value !== undefined && value !== false) {
			return value;
		}

		if (performance.now() > until) {
			throw new Error(`Waited ${timeoutMs} ms for: ${what}`);
		}

		await delay(POLL_MS);
		return poll();
	};

	return poll();
}
