/** Bounds of the retries to one service, for all instances together. */
export type RetryBudgetPolicy = Readonly<{
	windowMs: number;
	/** Retries for each request within the window. */
	ratio: number;
	/** Retries that are free within a window. */
	extra: number;
}>;

type Bucket = Readonly<{at: number; requests: number; retries: number}>;

/** Requests and retries of one service at this instance. */
export type RetryBudget = Readonly<{buckets: readonly Bucket[]}>;

/** Requests and retries within one window. */
export type RetryCounts = Readonly<{requests: number; retries: number}>;

/** Among whom a budget is shared. */
export type RetryBudgetContext = Readonly<{
	now: number;
	instances: number;
	/** Counts of the other instances; absent if they aren't known. */
	otherCounts?: RetryCounts;
}>;

/** Nothing counted yet. */
export const EMPTY_BUDGET: RetryBudget = {buckets: []};

/** Parts of a window that are counted apart. */
const BUCKETS_PER_WINDOW = 10;
/** Share of the common bounds that instances spend; the rest covers late counts of their number. */
const LOCAL_LIMIT_SHARE = 0.7;
/** Share of the common bounds up to which all instances together spend; the rest covers what they spend within one report. */
const SHARED_LIMIT_SHARE = 0.6;

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
	return {buckets: [...(isCurrent ? kept.slice(0, -1) : kept), bucket]};
}

/** Counts a request of a caller. */
export function countRequest(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	now: number,
): RetryBudget {
	return addCounts(budget, policy, now, {requests: 1, retries: 0});
}

/** Counts what lies within the window. */
export function countWindow(
	{buckets}: RetryBudget,
	{windowMs}: RetryBudgetPolicy,
	now: number,
): RetryCounts {
	const counted = buckets.filter(({at}) => at > now - windowMs);
	return {
		requests: counted.reduce((sum, {requests}) => sum + requests, 0),
		retries: counted.reduce((sum, {retries}) => sum + retries, 0),
	};
}

/**
 * Takes one retry out of the budget; undefined if none is left. Each instance
 * has its part of the common bounds, and more while `others`, the counts of the
 * other instances, leave room. Load pattern: a crash of many backend servers
 * hits a few of 60 instances with several streams each, whose parts are two.
 */
export function spendRetry(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	{now, instances, otherCounts: others}: RetryBudgetContext,
): RetryBudget | undefined {
	const own = countWindow(budget, policy, now);
	const extraPerInstance = policy.extra / Math.max(1, instances);
	const localLimit =
		LOCAL_LIMIT_SHARE * (policy.ratio * own.requests + extraPerInstance);
	const sharedLimit =
		others === undefined
			? 0
			: SHARED_LIMIT_SHARE *
					(policy.ratio * (own.requests + others.requests) + policy.extra) -
				others.retries;
	return own.retries + 1 <= Math.max(localLimit, sharedLimit)
		? addCounts(budget, policy, now, {requests: 0, retries: 1})
		: undefined;
}
