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

/** Nothing counted yet. */
export const EMPTY_BUDGET: RetryBudget = {buckets: []};

/** Parts of a window that are counted apart. */
const BUCKETS_PER_WINDOW = 10;
/** Share of the common bounds that instances spend; the rest covers late counts of their number. */
const SPENDABLE_SHARE = 0.7;

function addTo(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	now: number,
	added: Readonly<{requests: number; retries: number}>,
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
	return addTo(budget, policy, now, {requests: 1, retries: 0});
}

/** Takes one retry out of the budget; undefined if none is left. */
export function spendRetry(
	budget: RetryBudget,
	policy: RetryBudgetPolicy,
	now: number,
	instances: number,
): RetryBudget | undefined {
	const counted = budget.buckets.filter(({at}) => at > now - policy.windowMs);
	const requests = counted.reduce((sum, bucket) => sum + bucket.requests, 0);
	const retries = counted.reduce((sum, bucket) => sum + bucket.retries, 0);
	const free = policy.extra / Math.max(1, instances);
	const limit = SPENDABLE_SHARE * (policy.ratio * requests + free);
	return retries + 1 <= limit
		? addTo(budget, policy, now, {requests: 0, retries: 1})
		: undefined;
}
