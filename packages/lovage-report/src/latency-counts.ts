import {build} from 'hdr-histogram-js';

/** One day; longer latencies are counted as one day. */
const MAX_LATENCY_MS = 86_400_000;
const EXACT_BELOW_MS = 100;
const SIGNIFICANT_DIGITS = 2;

/** Number of occurrences of each latency in milliseconds, rounded to two digits. */
export type LatencyCounts = Readonly<Record<string, number>>;

/** Percentiles of latencies in milliseconds. */
export type LatencySummary = Readonly<{
	count: number;
	p50: number;
	p95: number;
	p99: number;
	max: number;
}>;

/** Rounds a latency up to two significant digits, which bounds the number of counts. */
export function quantiseLatency(ms: number): number {
	const bounded = Math.min(Math.max(Math.ceil(ms), 0), MAX_LATENCY_MS);
	if (bounded <= EXACT_BELOW_MS) {
		return bounded;
	}

	const step = 10 ** (Math.floor(Math.log10(bounded)) + 1 - SIGNIFICANT_DIGITS);
	return Math.ceil(bounded / step) * step;
}

/** Adds one latency to the counts. */
export function addLatency(counts: LatencyCounts, ms: number): LatencyCounts {
	const key = String(quantiseLatency(ms));
	return {...counts, [key]: (counts[key] ?? 0) + 1};
}

/** Merges two sets of counts. */
export function mergeLatencies(
	a: LatencyCounts,
	b: LatencyCounts,
): LatencyCounts {
	const added = Object.entries(b).map(
		([key, count]) => [key, (a[key] ?? 0) + count] as const,
	);
	return {...a, ...Object.fromEntries(added)};
}

/** Lists latencies with their counts in ascending order. */
export function listLatencies(
	counts: LatencyCounts,
): ReadonlyArray<readonly [number, number]> {
	return Object.entries(counts)
		.map(([key, count]) => [Number(key), count] as const)
		.toSorted(([a], [b]) => a - b);
}

/** Computes the percentiles; undefined if there are no latencies. */
export function summariseLatencies(
	counts: LatencyCounts,
): LatencySummary | undefined {
	const sorted = listLatencies(counts);
	if (sorted.length === 0) {
		return undefined;
	}

	const histogram = build({
		numberOfSignificantValueDigits: 3,
		autoResize: true,
	});
	sorted.forEach(([ms, count]) => {
		histogram.recordValueWithCount(ms, count);
	});
	const max = sorted.at(-1)![0];
	const getPercentile = (percentile: number) =>
		Math.min(histogram.getValueAtPercentile(percentile), max);
	return {
		count: histogram.totalCount,
		p50: getPercentile(50),
		p95: getPercentile(95),
		p99: getPercentile(99),
		max,
	};
}
