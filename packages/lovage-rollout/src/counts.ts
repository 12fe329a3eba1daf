/** Responses of one version on one route. */
export type VersionCounts = Readonly<{
	/** Responses that failed. */
	failed: number;
	/** Complete responses by the class of their time, as of `classifyTime`. */
	byTime: readonly number[];
}>;

/** Responses by route, of the new version and of the others in the same second. */
export type SecondCounts = ReadonlyMap<
	string,
	Readonly<{fresh: VersionCounts; old: VersionCounts}>
>;

/** Responses of a route, compared with a usual time. */
export type OutcomeCounts = Readonly<{
	good: number;
	failed: number;
	slow: number;
}>;

/** No responses. */
export const NO_COUNTS: VersionCounts = {failed: 0, byTime: []};

/**
 * Classes of times per factor of two; a version that is twice as slow is two
 * classes off.
 */
const CLASSES_PER_DOUBLING = 2;
/** Highest class; more than an hour. */
export const MAX_TIME_CLASS = 44;

/** Class of the time that a response took, in milliseconds. */
export function classifyTime(tookMs: number): number {
	return Math.min(
		MAX_TIME_CLASS,
		Math.max(
			0,
			Math.floor(Math.log2(Math.max(1, tookMs)) * CLASSES_PER_DOUBLING),
		),
	);
}

/** Adds two counts. */
export function addCounts(a: VersionCounts, b: VersionCounts): VersionCounts {
	const length = Math.max(a.byTime.length, b.byTime.length);
	return {
		failed: a.failed + b.failed,
		byTime: Array.from(
			{length},
			(_, i) => (a.byTime[i] ?? 0) + (b.byTime[i] ?? 0),
		),
	};
}

/**
 * What was counted between two reports of an entry; everything, if the later one
 * comes from a new start of the entry.
 */
export function subtractCounts(
	later: VersionCounts,
	earlier: VersionCounts,
): VersionCounts {
	const isRestarted =
		later.failed < earlier.failed ||
		earlier.byTime.some((count, i) => (later.byTime[i] ?? 0) < count);
	return isRestarted
		? later
		: {
				failed: later.failed - earlier.failed,
				byTime: later.byTime.map(
					(count, i) => count - (earlier.byTime[i] ?? 0),
				),
			};
}

/** Number of responses. */
export function countAll({failed, byTime}: VersionCounts): number {
	return byTime.reduce((sum, count) => sum + count, failed);
}

/** Class of the median time; undefined without complete responses. */
export function findMedianClass({byTime}: VersionCounts): number | undefined {
	const half = byTime.reduce((sum, count) => sum + count, 0) / 2;
	let sum = 0;
	const found = byTime.findIndex((count) => {
		sum += count;
		return sum > half || (sum === half && sum > 0);
	});
	return found === -1 ? undefined : found;
}

/** Compares responses with the class from which on a response is slow. */
export function compareWithTime(
	{failed, byTime}: VersionCounts,
	slowFrom: number,
): OutcomeCounts {
	const sum = (counts: readonly number[]): number =>
		counts.reduce((total, count) => total + count, 0);
	return {
		good: sum(byTime.slice(0, slowFrom)),
		failed,
		slow: sum(byTime.slice(slowFrom)),
	};
}
