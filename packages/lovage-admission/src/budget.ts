const INITIAL_TOKENS = 10;
const MAX_TOKENS = 100;
const TOKENS_PER_SECOND = 0.1;

/** Token bucket that limits extra attempts. */
export type RetryBudget = Readonly<{tokens: number; updatedAt: number}>;

/** Creates a budget that allows a small burst of extra attempts. */
export function createBudget(): RetryBudget {
	return {tokens: INITIAL_TOKENS, updatedAt: 0};
}

function addTokens(budget: RetryBudget, tokens: number): RetryBudget {
	return {...budget, tokens: Math.min(MAX_TOKENS, budget.tokens + tokens)};
}

/** Adds the fraction of an extra attempt that each first attempt earns. */
export function creditFirstAttempt(
	budget: RetryBudget,
	share: number,
): RetryBudget {
	return addTokens(budget, share);
}

/** Adds the slow refill over time, which allows retries when no new requests arrive. */
export function refillBudget(budget: RetryBudget, now: number): RetryBudget {
	const elapsedMs = Math.max(0, now - budget.updatedAt);
	const refilled = addTokens(budget, (elapsedMs * TOKENS_PER_SECOND) / 1000);
	return {...refilled, updatedAt: Math.max(now, budget.updatedAt)};
}

/** Tells whether the budget allows another extra attempt. */
export function canRetry(budget: RetryBudget): boolean {
	return budget.tokens >= 1;
}

/** Takes one extra attempt from the budget. */
export function spendRetry(budget: RetryBudget): RetryBudget {
	return {...budget, tokens: budget.tokens - 1};
}
