import {EMPTY_BUCKET, mergeBuckets, type Bucket} from './bucket.js';
import {getBucketStart, overlapsWindow, type Window} from './windows.js';

/** A bucket with the wall-clock time at which it starts. */
export type TimedBucket = Readonly<{start: number; bucket: Bucket}>;

/** Buckets of one window, oldest first; those without a count are left out. */
export type Ring = readonly TimedBucket[];

function dropExpired(ring: Ring, window: Window): Ring {
	const newest = ring.at(-1)?.start ?? 0;
	return ring.filter(({start}) => overlapsWindow(window, start, newest));
}

/** Changes the bucket of a time and drops what left the window. */
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

/** Adds up two rings of one window. */
export function mergeRings(a: Ring, b: Ring, window: Window): Ring {
	return b.reduce<Ring>(
		(ring, {start, bucket}) =>
			updateRing(ring, window, start, (before) => mergeBuckets(before, bucket)),
		a,
	);
}

/** Adds up the buckets of a ring that reach into the window before `now`. */
export function sumRing(ring: Ring, window: Window, now: number): Bucket {
	return ring
		.filter(({start}) => overlapsWindow(window, start, now))
		.reduce((sum, {bucket}) => mergeBuckets(sum, bucket), EMPTY_BUCKET);
}
