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
export type RetryBudget = Readonly<{buckets: readonly Bucket[]}>;

/** Number of requests and retries within one window. */
export type RetryCounts = Readonly<{requests: number; retries: number}>;

/** Current time and the instances that share the budget. */
export type RetryBudgetContext = Readonly<{
	now: number;
	instances: number;
	/** Sum over the other instances; absent if unknown. */
	otherCounts?: RetryCounts;
}>;

/** Budget without any requests or retries. */
export const EMPTY_BUDGET: RetryBudget = {buckets: []};

/** Resolution of the sliding window. */
const BUCKETS_PER_WINDOW = 10;
/** Part of its share of the policy that one instance may use. The rest allows for an outdated number of instances. */
const LOCAL_LIMIT_SHARE = 0.7;
/** Part of the policy that all instances together may use. The rest allows for retries that have not been reported yet. */
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

/** Adds one request from a caller. */
export function countRequest(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	now: number,
): RetryBudget {
	return addCounts(budget, policy, now, {requests: 1, retries: 0});
}

/** Sums the requests and retries within the window that ends now. */
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
 * Takes one retry from the budget; undefined if none is left. Each instance may
 * use its own share of the policy, and more as long as `otherCounts` shows that
 * the other instances leave some unused. The share alone is too small when many
 * backend servers crash: with 60 instances it is two retries each, while a few
 * instances have several broken streams.
 */
export function spendRetry(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	{now, instances, otherCounts}: RetryBudgetContext,
): RetryBudget | undefined {
	const own = countWindow(budget, policy, now);
	const extraPerInstance = policy.extra / Math.max(1, instances);
	const localLimit =
		LOCAL_LIMIT_SHARE * (policy.ratio * own.requests + extraPerInstance);
	const sharedLimit =
		otherCounts === undefined
			? 0
			: SHARED_LIMIT_SHARE *
					(policy.ratio * (own.requests + otherCounts.requests) +
						policy.extra) -
				otherCounts.retries;
	return own.retries + 1 <= Math.max(localLimit, sharedLimit)
		? addCounts(budget, policy, now, {requests: 0, retries: 1})
		: undefined;
}
