const EWMA_WEIGHT = 1 / 8;
const DEFAULT_START_INTERVAL_MS = 1000;
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 300_000;

/** Rate at which requests start while others are waiting. */
export type QueuePace = Readonly<{
	/** Moving average of the time between starts while requests wait, in milliseconds. */
	intervalMs?: number;
	/** Time of the last start if requests were still waiting after it. */
	lastStartAt?: number;
}>;

/** Pace before any interval has been measured. */
export const UNKNOWN_PACE: QueuePace = {};

/** Updates the average at a start; idle periods with an empty queue do not count. */
export function recordStart(
	pace: QueuePace,
	now: number,
	isBacklogged: boolean,
): QueuePace {
	const lastStartAt = isBacklogged ? now : undefined;
	if (pace.lastStartAt === undefined) {
		return {...pace, lastStartAt};
	}

	const gapMs = now - pace.lastStartAt;
	const previousIntervalMs = pace.intervalMs ?? gapMs;
	return {
		intervalMs: previousIntervalMs + EWMA_WEIGHT * (gapMs - previousIntervalMs),
		lastStartAt,
	};
}

/** Estimates the time until `ahead` requests have started, in milliseconds. */
export function estimateWait(pace: QueuePace, ahead: number): number {
	return ahead * (pace.intervalMs ?? DEFAULT_START_INTERVAL_MS);
}

/** Computes the retry delay of a refusal from the measured pace of the queue. */
export function computeRetryAfter(pace: QueuePace, waiting: number): number {
	const waitMs = estimateWait(pace, waiting);
	return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
