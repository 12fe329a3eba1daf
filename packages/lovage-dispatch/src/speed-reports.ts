import type {SpeedSums} from './server-speed.js';

/** Sums of one incarnation: samples, work, milliseconds, and for streams the events and the milliseconds between them. */
type CompactSpeed = readonly [number, number, number, number, number];

/** Sums by incarnation of the backend server, as `id/bornAt`. */
export type CompactSpeeds = Readonly<Record<string, CompactSpeed>>;

/** Digits of an encoded sum; an error of half a percent is far below the noise of samples. */
const SIGNIFICANT_DIGITS = 3;
/** Largest sum that an instance can have measured: more tokens than all engines process within the half-life. */
const MAX_SUM = 1e12;
/** More backend servers than any deployment has. */
const MAX_SERVERS = 10_000;

function shorten(value: number): number {
	return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

/** Encodes sums for a report. */
export function toCompactSpeeds(
	sums: Iterable<readonly [string, SpeedSums]>,
): CompactSpeeds {
	return Object.fromEntries(
		[...sums].map(([key, {samples, work, ms, events, eventsMs}]) => [
			key,
			[
				shorten(samples),
				shorten(work),
				shorten(ms),
				shorten(events),
				shorten(eventsMs),
			],
		]),
	);
}

/** Decodes sums from a report. */
export function fromCompactSpeeds(
	speeds: CompactSpeeds,
): ReadonlyMap<string, SpeedSums> {
	return new Map(
		Object.entries(speeds).map(
			([key, [samples, work, ms, events, eventsMs]]) => [
				key,
				{samples, work, ms, events, eventsMs},
			],
		),
	);
}

function isSum(value: unknown): boolean {
	return typeof value === 'number' && value >= 0 && value <= MAX_SUM;
}

function isCompactSpeed(value: unknown): value is CompactSpeed {
	return (
		Array.isArray(value) &&
		value.length === 5 &&
		value.every((sum) => isSum(sum)) &&
		// Speeds are quotients of the sums.
		(value[0] === 0) === (value[2] === 0)
	);
}

/** Decodes sums from outside; what is of another shape is left out, undefined if it is no record. */
export function decodeSpeeds(value: unknown): CompactSpeeds | undefined {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return undefined;
	}

	return Object.fromEntries(
		Object.entries(value)
			.slice(0, MAX_SERVERS)
			.filter((entry): entry is [string, CompactSpeed] =>
				isCompactSpeed(entry[1]),
			),
	);
}
