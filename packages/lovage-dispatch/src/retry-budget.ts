/** Limits the retries to one service, summed over all instances. */
export type RetryBudgetPolicy = Readonly<{
	windowMs: number;
	/** Retries allowed per request within the window. */
	ratio: number;
	/** Retries allowed within a window regardless of the number of requests. */
	extra: number;
}>;

type Bucket = Readonly<{at: number; requests: number; retries: number}>;

/** Requests and retries that this instance sent to one service, in time buckets. */
export type RetryBudget = Readonly<{
	buckets: readonly Bucket[];
	/** Times of the retries that other instances may not know of yet. */
	unreported: readonly number[];
}>;

/** Number of requests and retries within one window. */
export type RetryCounts = Readonly<{
	requests: number;
	retries: number;
	/** Requests in progress, each of which may need a retry; older instances don't report it. */
	active?: number;
	/** Requests and retries within the last second; older instances don't report it. */
	recent?: number;
}>;

/** Current time and the instances that share the budget. */
export type RetryBudgetContext = Readonly<{
	now: number;
	/** Number of instances; at least 1. */
	instances: number;
	/**
	 * Requests in progress at this instance, without those that the other
	 * instances may not know of yet.
	 */
	active: number;
	/** Sum over the other instances; absent if unknown. */
	otherCounts?: RetryCounts;
	/**
	 * Number in [0, 1) that this instance has drawn once. It decides when a
	 * fraction of a retry is rounded up.
	 */
	roundingOffset: number;
	/** The request misses its service level even if it is retried now. */
	isLate?: boolean;
}>;

/** Budget without any requests or retries. */
export const EMPTY_BUDGET: RetryBudget = {buckets: [], unreported: []};

const RECENT_MS = 1000;
/** Resolution of the sliding window. */
const BUCKETS_PER_WINDOW = 40;
/** Part of its share of the policy that one instance may always use. */
const LOCAL_LIMIT_SHARE = 0.3;
/** Part of the policy that all instances together may use. The rest allows for an outdated number of instances. */
const SHARED_LIMIT_SHARE = 0.93;
/** Part of the policy that is kept for requests that can still be on time. */
const ON_TIME_RESERVE_SHARE = 0.25;
/** Time until all instances know of a retry: an interval until it is reported, and one until the others receive the sum. */
const REPORT_LAG_MS = 600;
/** Interval at which the next instance rounds up what it rounded down; within the report lag these are few. */
const ROUNDING_STEP_MS = 30;
/** Shorter periods would pass through all fractions within the report lag. */
const MIN_ROUNDING_PERIOD_MS = 1200;

function listUnreported(
	{unreported}: RetryBudget,
	now: number,
): readonly number[] {
	return unreported.filter((at) => at > now - REPORT_LAG_MS);
}

function addCounts(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	now: number,
	added: RetryCounts,
): RetryBudget {
	const width = policy.windowMs / BUCKETS_PER_WINDOW;
	const at = Math.floor(now / width) * width;
	const kept = budget.buckets.filter(
		(bucket) => bucket.at > now - policy.windowMs - width,
	);
	const last = kept.at(-1);
	const isCurrent = last?.at === at;
	const base = isCurrent ? last : {at, requests: 0, retries: 0};
	const bucket = {
		at,
		requests: base.requests + added.requests,
		retries: base.retries + added.retries,
	};
	return {
		buckets: [...(isCurrent ? kept.slice(0, -1) : kept), bucket],
		unreported: [
			...listUnreported(budget, now),
			...(added.retries > 0 ? [now] : []),
		],
	};
}

/** Adds one request from a caller. */
export function countRequest(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	now: number,
): RetryBudget {
	return addCounts(budget, policy, now, {requests: 1, retries: 0});
}

/**
 * Sums the requests and retries within the window that ends now. A bucket that
 * lies partly in the window counts with its retries but not with its requests.
 */
export function countWindow(
	{buckets}: RetryBudget,
	{windowMs}: RetryBudgetPolicy,
	now: number,
): RetryCounts {
	const startedAt = now - windowMs;
	const width = windowMs / BUCKETS_PER_WINDOW;
	return {
		requests: buckets
			.filter(({at}) => at > startedAt)
			.reduce((sum, {requests}) => sum + requests, 0),
		retries: buckets
			.filter(({at}) => at + width > startedAt)
			.reduce((sum, {retries}) => sum + retries, 0),
	};
}

/** Requests and retries within about the last second. */
export function countRecent({buckets}: RetryBudget, now: number): number {
	return buckets
		.filter(({at}) => at > now - RECENT_MS)
		.reduce((sum, {requests, retries}) => sum + requests + retries, 0);
}

/**
 * Part of what all instances have left that falls to this instance: in proportion
 * to its requests in progress or, if the others know of none, an equal part of a
 * reserve for the requests that have come since the reports.
 */
function computeOwnShare(
	policy: RetryBudgetPolicy,
	{instances, active, otherCounts}: RetryBudgetContext,
	requests: number,
): number {
	if (otherCounts?.active === undefined) {
		return 1 / instances;
	}

	const known = active + otherCounts.active;
	const recent = (requests * REPORT_LAG_MS) / policy.windowMs;
	// Instances without a request in progress, if requests are spread evenly; more
	// of them than there are requests hardly ask at the same time.
	const idle = Math.min(known, instances * Math.exp(-known / instances));
	const reserve = recent / Math.max(1, known + recent);
	return active === 0
		? reserve / Math.max(1, Math.min(recent, instances), idle)
		: (1 - reserve) * (active / known);
}

/**
 * Takes one retry from the budget; undefined if none is left. It answers crashes
 * of a whole data centre, in which all streams break off at once. An instance may
 * always use part of its own share. Beyond it, the retries that the others do not
 * know of yet are limited to a part of what all instances have left, in
 * proportion to the requests in progress, so that instances that spend at the
 * same moment stay within the policy together.
 */
export function spendRetry(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	context: RetryBudgetContext,
): RetryBudget | undefined {
	const {now, instances, otherCounts, roundingOffset, isLate = false} = context;
	const periodMs = Math.max(
		MIN_ROUNDING_PERIOD_MS,
		instances * ROUNDING_STEP_MS,
	);
	const rounding = (roundingOffset + now / periodMs) % 1;
	const usableShare = SHARED_LIMIT_SHARE - (isLate ? ON_TIME_RESERVE_SHARE : 0);
	const own = countWindow(budget, policy, now);
	const unreported = listUnreported(budget, now).length;
	const localLimit =
		LOCAL_LIMIT_SHARE *
		(policy.ratio * own.requests + policy.extra / instances);
	const requests = own.requests + (otherCounts?.requests ?? 0);
	const left =
		otherCounts === undefined
			? 0
			: usableShare * (policy.ratio * requests + policy.extra) -
				otherCounts.retries -
				(own.retries - unreported);
	const isAllowed =
		own.retries + 1 <= localLimit ||
		(left > 0 &&
			unreported + 1 <=
				left * computeOwnShare(policy, context, requests) + rounding);
	return isAllowed
		? addCounts(budget, policy, now, {requests: 0, retries: 1})
		: undefined;
}
