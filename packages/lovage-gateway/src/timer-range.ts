/** Node.js lets timers of a longer time expire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Brings a time from outside into the range of timers, in whole milliseconds. */
export function toTimerMs(value: number): number {
	return Number.isNaN(value)
		? 0
		: Math.floor(Math.min(MAX_TIMER_MS, Math.max(0, value)));
}
