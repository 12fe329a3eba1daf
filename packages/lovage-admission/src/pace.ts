const EWMA_WEIGHT = 1 / 8;
const DEFAULT_START_INTERVAL_MS = 1000;
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 300_000;

/** Pace at which a queue with waiting requests starts them. */
export type QueuePace = Readonly<{
	/** Mean time between starts while requests wait, in milliseconds. */
	intervalMs?: number;
	/** Last start after which requests still waited. */
	lastStartAt?: number;
}>;

/** No start seen while requests waited. */
export const UNKNOWN_PACE: QueuePace = {};

/** Takes a start in; gaps with an empty queue say nothing about the pace. */
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

/** Estimates when `ahead` requests will have been started, in milliseconds. */
export function estimateWait(pace: QueuePace, ahead: number): number {
	return ahead * (pace.intervalMs ?? DEFAULT_START_INTERVAL_MS);
}

/** Returns when coming back makes sense, from the real pace of the queue. */
export function computeRetryAfter(pace: QueuePace, waiting: number): number {
	const waitMs = estimateWait(pace, waiting);
	return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
