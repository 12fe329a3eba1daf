const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Names of the windows for which burn rates are computed. */
export const WINDOW_NAMES = ['5m', '1h', '6h', '3d'] as const;

/** Name of a window. */
export type WindowName = (typeof WINDOW_NAMES)[number];

/** A sliding time window, divided into buckets. */
export type Window = Readonly<{
	lengthMs: number;
	bucketMs: number;
	/** Whether its buckets record latency counts. */
	hasLatencies: boolean;
}>;

/** All windows. A window may cover up to one bucket more than its length. */
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

/** Returns the start of the bucket that contains a time. */
export function getBucketStart(window: Window, at: number): number {
	return Math.floor(at / window.bucketMs) * window.bucketMs;
}

/** Tells whether a bucket overlaps the window that ends at `now`. */
export function overlapsWindow(
	window: Window,
	start: number,
	now: number,
): boolean {
	return start + window.bucketMs > now - window.lengthMs;
}
