import {
	countRequest,
	countWindow,
	decideRetry,
	EMPTY_BUDGET,
	type RetryBudget,
	type RetryBudgetPolicy,
	type RetryCounts,
	type RetryDecision,
	type RetryInputs,
	spendRetry,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** Retry budgets of the services at this entry. */
export type RetryBudgets = Readonly<{
	countRequest: (service: string) => void;
	/** Takes a retry out of the budget, or returns false. */
	spend: (service: string) => boolean;
	/** Counts of this entry within the window, by service. */
	readCounts: () => Readonly<Record<string, RetryCounts>>;
	/** Takes in the counts of the other entries. */
	noteOthers: (counts: Readonly<Record<string, RetryCounts>>) => void;
}>;

/** Counts of the other entries that are older say nothing about a crash of now. */
const OTHERS_FRESH_MS = 1000;

/** Creates the budgets; `countEntries` tells among how many entries they are shared. */
export function createRetryBudgets(
	policy: RetryBudgetPolicy,
	clock: Clock,
	countEntries: () => number,
): RetryBudgets {
	const budgets = new Map<string, RetryBudget>();
	let others: Readonly<Record<string, RetryCounts>> = {};
	let othersAt = Number.NEGATIVE_INFINITY;
	const readOthers = (service: string): RetryCounts | undefined =>
		clock.now() - othersAt < OTHERS_FRESH_MS
			? (others[service] ?? {requests: 0, retries: 0})
			: undefined;
	const read = (service: string): RetryBudget =>
		budgets.get(service) ?? EMPTY_BUDGET;
	return {
		countRequest(service) {
			budgets.set(service, countRequest(read(service), policy, clock.now()));
		},
		spend(service) {
			const spent = spendRetry(read(service), policy, {
				now: clock.now(),
				instances: countEntries(),
				otherCounts: readOthers(service),
			});
			if (spent !== undefined) {
				budgets.set(service, spent);
			}

			return spent !== undefined;
		},
		readCounts: () =>
			Object.fromEntries(
				[...budgets].map(([service, budget]) => [
					service,
					countWindow(budget, policy, clock.now()),
				]),
			),
		noteOthers(counts) {
			others = counts;
			othersAt = clock.now();
		},
	};
}

/** Decides on a failed try, and takes a retry out of the budget only where one follows. */
export function decideWithinBudget(
	budgets: RetryBudgets,
	service: string,
	inputs: Omit<RetryInputs, 'hasBudget'>,
	hasRun: boolean,
): RetryDecision {
	const wanted = decideRetry({...inputs, hasBudget: true}, hasRun);
	const isFree = inputs.failure.kind === 'not-sent';
	return wanted.kind === 'retry' && !isFree && !budgets.spend(service)
		? decideRetry({...inputs, hasBudget: false}, hasRun)
		: wanted;
}
