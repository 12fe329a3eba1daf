import {EMPTY_BUCKET, mergeBuckets, type Bucket} from './bucket.js';
import {getBucketStart, overlapsWindow, type Window} from './windows.js';

/** A bucket and the wall-clock time at which its interval starts. */
export type TimedBucket = Readonly<{start: number; bucket: Bucket}>;

/** Buckets of one window, oldest first; empty buckets are not stored. */
export type Ring = readonly TimedBucket[];

function dropExpired(ring: Ring, window: Window): Ring {
	const newest = ring.at(-1)?.start ?? 0;
	return ring.filter(({start}) => overlapsWindow(window, start, newest));
}

/** Updates the bucket that contains a time and drops buckets outside the window. */
export function updateRing(
	ring: Ring,
	window: Window,
	at: number,
	update: (bucket: Bucket) => Bucket,
): Ring {
	const start = getBucketStart(window, at);
	const last = ring.at(-1);
	if (last?.start === start) {
		return [...ring.slice(0, -1), {start, bucket: update(last.bucket)}];
	}

	const found = ring.find((timed) => timed.start === start);
	const others = ring.filter((timed) => timed.start !== start);
	const bucket = update(found?.bucket ?? EMPTY_BUCKET);
	const updated = [...others, {start, bucket}].toSorted(
		(a, b) => a.start - b.start,
	);
	return dropExpired(updated, window);
}

/** Merges two rings of the same window. */
export function mergeRings(a: Ring, b: Ring, window: Window): Ring {
	return b.reduce<Ring>(
		(ring, {start, bucket}) =>
			updateRing(ring, window, start, (before) => mergeBuckets(before, bucket)),
		a,
	);
}

/** Sums the buckets of a ring that overlap the window ending at `now`. */
export function sumRing(ring: Ring, window: Window, now: number): Bucket {
	return ring
		.filter(({start}) => overlapsWindow(window, start, now))
		.reduce((sum, {bucket}) => mergeBuckets(sum, bucket), EMPTY_BUCKET);
}
