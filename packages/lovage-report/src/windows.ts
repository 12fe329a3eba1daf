const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Names of the windows that burn is shown over. */
export const WINDOW_NAMES = ['5m', '1h', '6h', '3d'] as const;

/** Name of a window. */
export type WindowName = (typeof WINDOW_NAMES)[number];

/** A stretch of time up to now, kept in buckets. */
export type Window = Readonly<{
	lengthMs: number;
	bucketMs: number;
	/** Whether its buckets keep the counts of latencies. */
	hasLatencies: boolean;
}>;

/** The windows; a window may reach back by up to one bucket more. */
export const WINDOWS: Readonly<Record<WindowName, Window>> = {
	'5m': {
		lengthMs: 5 * MINUTE_MS,
		bucketMs: MINUTE_MS / 2,
		hasLatencies: false,
	},
	'1h': {lengthMs: HOUR_MS, bucketMs: 5 * MINUTE_MS, hasLatencies: false},
	'6h': {lengthMs: 6 * HOUR_MS, bucketMs: HOUR_MS / 2, hasLatencies: false},
	'3d': {lengthMs: 72 * HOUR_MS, bucketMs: 6 * HOUR_MS, hasLatencies: true},
};

/** Window of the error budget. */
export const BUDGET_WINDOW: WindowName = '3d';

/** Returns the start of the bucket that holds a time. */
export function getBucketStart(window: Window, at: number): number {
	return Math.floor(at / window.bucketMs) * window.bucketMs;
}

/** Tells whether a bucket reaches into the window that ends at `now`. */
export function overlapsWindow(
	window: Window,
	start: number,
	now: number,
): boolean {
	return start + window.bucketMs > now - window.lengthMs;
}
