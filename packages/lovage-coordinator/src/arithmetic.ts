import {
	addLoad,
	type BackendLoad,
	type RetryCounts,
	subtractLoad,
} from '@lovagevalve/dispatch';
import type {Arithmetic} from './entry-sums.js';

/** Arithmetic of the load on backend servers. */
export const LOAD_ARITHMETIC: Arithmetic<BackendLoad> = {
	add: addLoad,
	subtract: subtractLoad,
	isZero: ({running}) => running === 0,
};

/** Sum of retry counts; some entries don't report their requests in progress. */
export type CountsSum = Required<RetryCounts> &
	Readonly<{withoutActive: number}>;

function combineCounts(a: CountsSum, b: CountsSum, sign: 1 | -1): CountsSum {
	return {
		requests: a.requests + sign * b.requests,
		retries: a.retries + sign * b.retries,
		active: a.active + sign * b.active,
		recent: a.recent + sign * b.recent,
		withoutActive: a.withoutActive + sign * b.withoutActive,
	};
}

/** Arithmetic of the retry counts of services. */
export const COUNTS_ARITHMETIC: Arithmetic<CountsSum> = {
	add: (a, b) => combineCounts(a, b, 1),
	subtract: (sum, part) => combineCounts(sum, part, -1),
	isZero: () => false,
};

/** Arithmetic of numbers. */
export const NUMBER_ARITHMETIC: Arithmetic<number> = {
	add: (a, b) => a + b,
	subtract: (sum, part) => sum - part,
	isZero: (value) => value === 0,
};

/** Converts the values of a record. */
export function mapValues<A, B>(
	values: Readonly<Record<string, A>>,
	convert: (value: A) => B,
): Readonly<Record<string, B>> {
	return Object.fromEntries(
		Object.entries(values).map(([key, value]) => [key, convert(value)]),
	);
}

/** Converts the counts of one entry. */
export function toCountsSum({
	requests,
	retries,
	active,
	recent,
}: RetryCounts): CountsSum {
	const withoutActive = active === undefined ? 1 : 0;
	return {
		requests,
		retries,
		active: active ?? 0,
		recent: recent ?? 0,
		withoutActive,
	};
}

/** Converts a sum back; the requests in progress are unknown as soon as one entry does not report them. */
export function fromCountsSum({
	withoutActive,
	active,
	recent,
	...counts
}: CountsSum): RetryCounts {
	return {
		...counts,
		...(withoutActive > 0 ? {} : {active}),
		...(recent > 0 ? {recent} : {}),
	};
}
