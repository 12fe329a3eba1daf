import {
	countRequest,
	EMPTY_BUDGET,
	type RetryBudget,
	type RetryBudgetPolicy,
	spendRetry,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** Retry budgets of the services at this entry. */
export type RetryBudgets = Readonly<{
	countRequest: (service: string) => void;
	/** Takes a retry out of the budget, or returns false. */
	spend: (service: string) => boolean;
}>;

/** Creates the budgets; `countEntries` tells among how many entries they are shared. */
export function createRetryBudgets(
	policy: RetryBudgetPolicy,
	clock: Clock,
	countEntries: () => number,
): RetryBudgets {
	const budgets = new Map<string, RetryBudget>();
	const read = (service: string): RetryBudget =>
		budgets.get(service) ?? EMPTY_BUDGET;
	return {
		countRequest(service) {
			budgets.set(service, countRequest(read(service), policy, clock.now()));
		},
		spend(service) {
			const spent = spendRetry(
				read(service),
				policy,
				clock.now(),
				countEntries(),
			);
			if (spent !== undefined) {
				budgets.set(service, spent);
			}

			return spent !== undefined;
		},
	};
}
