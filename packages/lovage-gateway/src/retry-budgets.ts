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
	updateRemoteCounts: (counts: Readonly<Record<string, RetryCounts>>) => void;
}>;

/** Counts of the other entries that are older say nothing about a crash of now. */
const REMOTE_COUNTS_FRESHNESS_MS = 1000;

/** Creates the budgets; `countEntries` tells among how many entries they are shared. */
export function createRetryBudgets(
	policy: RetryBudgetPolicy,
	clock: Clock,
	countEntries: () => number,
): RetryBudgets {
	const budgets = new Map<string, RetryBudget>();
	let remoteCounts: Readonly<Record<string, RetryCounts>> = {};
	let remoteCountsAt = Number.NEGATIVE_INFINITY;
	const readRemoteCounts = (service: string): RetryCounts | undefined =>
		clock.now() - remoteCountsAt < REMOTE_COUNTS_FRESHNESS_MS
			? (remoteCounts[service] ?? {requests: 0, retries: 0})
			: undefined;
	const readBudget = (service: string): RetryBudget =>
		budgets.get(service) ?? EMPTY_BUDGET;
	return {
		countRequest(service) {
			budgets.set(
				service,
				countRequest(readBudget(service), policy, clock.now()),
			);
		},
		spend(service) {
			const updatedBudget = spendRetry(readBudget(service), policy, {
				now: clock.now(),
				instances: countEntries(),
				others: readRemoteCounts(service),
			});
			if (updatedBudget !== undefined) {
				budgets.set(service, updatedBudget);
			}

			return updatedBudget !== undefined;
		},
		readCounts: () =>
			Object.fromEntries(
				[...budgets].map(([service, budget]) => [
					service,
					countWindow(budget, policy, clock.now()),
				]),
			),
		updateRemoteCounts(counts) {
			remoteCounts = counts;
			remoteCountsAt = clock.now();
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
	const decision = decideRetry({...inputs, hasBudget: true}, hasRun);
	const isUncharged = inputs.failure.kind === 'not-sent';
	return decision.kind === 'retry' && !isUncharged && !budgets.spend(service)
		? decideRetry({...inputs, hasBudget: false}, hasRun)
		: decision;
}
