import {
	addCounts,
	compareWithTime,
	countAll,
	findMedianClass,
	NO_COUNTS,
	type SecondCounts,
	type VersionCounts,
} from './counts.js';

/** Classes of times by which a slow response is off: a factor of 2.8. */
const SLOW_CLASSES = 3;
/** Failed responses below which nothing is concluded. */
const MIN_FAILED = 3;
/** The same for slow ones, of which sound versions have some at any time. */
const MIN_SLOW = 5;
/**
 * Standard errors by which the parts of bad responses must differ. The verdict is
 * repeated several times a second, and five are passed by chance less than once in
 * ten thousand looks at counts this small.
 */
const MIN_Z_SCORE = 5;
/** Difference of the parts of failed responses below which versions count as alike. */
const FAILED_MARGIN = 0.02;
/** The same for slow responses, of which loaded servers have more at any time. */
const SLOW_MARGIN = 0.08;
/** Part of failed responses of the old versions from which on a second is disturbed. */
const DISTURBED_SHARE = 0.02;
/** The same relative to the median second; old versions may always fail some. */
const DISTURBED_RATIO = 3;
/** Failed responses of the old versions below which a second isn't disturbed. */
const DISTURBED_MIN = 2;
/** Seconds in which a version shows that it went bad lately, beside all since the order. */
const RECENT_SECONDS = 3;
/**
 * Responses of the old versions from which on a second can be compared: a lost data
 * centre with a third of the servers fails at least one of eight in 96 of 100 cases.
 */
const MIN_REFERENCE = 8;
/**
 * Part of a second's responses that come from the old versions in one that can be
 * compared. In the second of the last step, they end with its beginning.
 */
const MIN_REFERENCE_SHARE = 0.25;
/**
 * Seconds with bad responses that prove a fault where too few old ones tell whether
 * a second was disturbed. The loss of a data centre, of 1.2 s, touches three at most.
 */
const MIN_BAD_SECONDS = 4;
type RouteCounts = Readonly<{fresh: VersionCounts; old: VersionCounts}>;
const NO_ROUTE_COUNTS: RouteCounts = {fresh: NO_COUNTS, old: NO_COUNTS};

function sumSeconds(
	seconds: readonly SecondCounts[],
): ReadonlyMap<string, RouteCounts> {
	const sums = new Map<string, RouteCounts>();
	seconds.forEach((second) => {
		second.forEach(({fresh, old}, route) => {
			const known = sums.get(route) ?? NO_ROUTE_COUNTS;
			sums.set(route, {
				fresh: addCounts(known.fresh, fresh),
				old: addCounts(known.old, old),
			});
		});
	});
	return sums;
}

/**
 * Leaves out the seconds in which the old versions failed more than usual, and those
 * beside them: a lost data centre hits versions in other parts than it hosts of them.
 * If they do most of the time, all seconds are compared.
 */
function listCalm(seconds: readonly SecondCounts[]): readonly SecondCounts[] {
	const old = seconds.map((second) =>
		[...second.values()]
			.map((counts) => counts.old)
			.reduce((sum, counts) => addCounts(sum, counts), NO_COUNTS),
	);
	const shares = old.map(
		(counts) => counts.failed / Math.max(1, countAll(counts)),
	);
	const median =
		shares.toSorted((a, b) => a - b)[Math.floor(shares.length / 2)] ?? 0;
	const limit = Math.max(DISTURBED_SHARE, median * DISTURBED_RATIO);
	const disturbed = old.map(
		({failed}, i) => failed >= DISTURBED_MIN && shares[i]! >= limit,
	);
	if (disturbed.filter(Boolean).length > seconds.length / 2) {
		return seconds;
	}

	return seconds.filter(
		(_, i) => !disturbed[i - 1] && !disturbed[i] && !disturbed[i + 1],
	);
}

function differs(
	fresh: Readonly<{bad: number; all: number}>,
	old: Readonly<{bad: number; all: number}>,
	{margin, min}: Readonly<{margin: number; min: number}>,
): boolean {
	if (fresh.bad < min || old.all === 0) {
		return false;
	}

	const freshShare = fresh.bad / fresh.all;
	const oldShare = old.bad / old.all;
	const pooled = (fresh.bad + old.bad) / (fresh.all + old.all);
	const deviation = Math.sqrt(
		pooled * (1 - pooled) * (1 / fresh.all + 1 / old.all),
	);
	const difference = freshShare - oldShare;
	return difference > margin && difference > deviation * MIN_Z_SCORE;
}

function isRouteBad(
	fresh: VersionCounts,
	old: VersionCounts,
): string | undefined {
	const median = findMedianClass(old);
	const slowFrom =
		median === undefined ? Number.POSITIVE_INFINITY : median + SLOW_CLASSES;
	const newer = compareWithTime(fresh, slowFrom);
	const older = compareWithTime(old, slowFrom);
	const freshAll = countAll(fresh);
	const oldAll = countAll(old);
	if (
		differs(
			{bad: newer.failed, all: freshAll},
			{bad: older.failed, all: oldAll},
			{margin: FAILED_MARGIN, min: MIN_FAILED},
		)
	) {
		return 'failed';
	}

	return differs(
		{bad: newer.slow, all: freshAll - newer.failed},
		{bad: older.slow, all: oldAll - older.failed},
		{margin: SLOW_MARGIN, min: MIN_SLOW},
	)
		? 'slow'
		: undefined;
}

function countBadSeconds(
	seconds: readonly SecondCounts[],
	route: string,
	old: VersionCounts,
): number {
	const slowFrom = (findMedianClass(old) ?? Infinity) + SLOW_CLASSES;
	return seconds.filter((second) => {
		const {failed, slow} = compareWithTime(
			second.get(route)?.fresh ?? NO_COUNTS,
			slowFrom,
		);
		return failed + slow > 0;
	}).length;
}

/** Whether enough old responses show whether a second was disturbed. */
function hasReference(second: SecondCounts): boolean {
	const counts = [...second.values()];
	const old = counts.reduce((sum, one) => sum + countAll(one.old), 0);
	const fresh = counts.reduce((sum, one) => sum + countAll(one.fresh), 0);
	return old >= Math.max(MIN_REFERENCE, (old + fresh) * MIN_REFERENCE_SHARE);
}

/** Finds a fault by the old responses of the same seconds. */
function findCompared(seconds: readonly SecondCounts[]): string | undefined {
	for (const [route, {fresh, old}] of sumSeconds(seconds)) {
		const fault = isRouteBad(fresh, old);
		if (fault !== undefined) {
			return `${fault} on ${route}`;
		}
	}

	return undefined;
}

/**
 * Finds a fault by all old responses since the order. Only one that shows in several
 * seconds counts, as nothing tells whether a data centre was lost in them.
 */
function findLasting(seconds: readonly SecondCounts[]): string | undefined {
	for (const [route, {fresh, old}] of sumSeconds(seconds)) {
		const fault = isRouteBad(fresh, old);
		if (
			fault !== undefined &&
			countBadSeconds(seconds, route, old) >= MIN_BAD_SECONDS
		) {
			return `${fault} on ${route}`;
		}
	}

	return undefined;
}

/** Finds what a new version does worse than the old ones; undefined if nothing. */
export function findFault(
	seconds: readonly SecondCounts[],
): string | undefined {
	const calm = listCalm(seconds);
	const compared = calm.filter(hasReference);
	return (
		findCompared(compared.slice(-RECENT_SECONDS)) ??
		findCompared(compared) ??
		findLasting(calm)
	);
}
