import {
	countRecent,
	countRequest,
	countWindow,
	decideRetry,
	EMPTY_BUDGET,
	estimateDemand,
	readOwn,
	type RetryBudget,
	type RetryBudgetPolicy,
	type RetryCounts,
	type RetryDecision,
	type RetryInputs,
	spendRetry,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** Retry budgets of this entry, by service. */
export type RetryBudgets = Readonly<{
	/** Counts a request; the returned function is called when it has ended. */
	countRequest: (service: string) => () => void;
	/** Whether a retry is left. */
	hasLeft: (service: string, isLate: boolean) => boolean;
	/**
	 * Deducts a retry from the budget; returns false if it is exhausted. Requests
	 * that miss their service level anyway leave a part of it to the others.
	 */
	spend: (service: string, isLate: boolean) => boolean;
	/** Requests and retries of this entry within the window, by service. */
	readCounts: () => Readonly<Record<string, RetryCounts>>;
	/** Requests and retries a second for a service at all entries, when they are most. */
	readDemand: (service: string) => number;
	/** Replaces the counts of the other entries. */
	updateRemoteCounts: (counts: Readonly<Record<string, RetryCounts>>) => void;
}>;

/**
 * Older counts of the other entries do not reflect a crash that has just
 * happened.
 */
const REMOTE_COUNTS_FRESHNESS_MS = 1000;

/** Creates the budgets, which are shared among `countEntries()` entries. */
export function createRetryBudgets(
	policy: RetryBudgetPolicy,
	clock: Clock,
	countEntries: () => number,
	random: () => number,
): RetryBudgets {
	const budgets = new Map<string, RetryBudget>();
	const active = new Map<string, number>();
	const readActive = (service: string): number => active.get(service) ?? 0;
	/** Requests in progress when the last two sums of the others arrived. */
	let reportedActive: ReadonlyArray<ReadonlyMap<string, number>> = [];
	const readReportedActive = (service: string): number =>
		Math.min(...reportedActive.map((counts) => counts.get(service) ?? 0));
	let remoteCounts: Readonly<Record<string, RetryCounts>> = {};
	let remoteCountsAt = Number.NEGATIVE_INFINITY;
	const readRemoteCounts = (service: string): RetryCounts | undefined =>
		clock.now() - remoteCountsAt < REMOTE_COUNTS_FRESHNESS_MS
			? (readOwn(remoteCounts, service) ?? {requests: 0, retries: 0})
			: undefined;
	const roundingOffset = random();

	const readBudget = (service: string): RetryBudget =>
		budgets.get(service) ?? EMPTY_BUDGET;
	const trySpend = (
		service: string,
		isLate: boolean,
	): RetryBudget | undefined =>
		spendRetry(readBudget(service), policy, {
			now: clock.now(),
			instances: countEntries(),
			active: readReportedActive(service),
			otherCounts: readRemoteCounts(service),
			roundingOffset,
			isLate,
		});
	return {
		countRequest(service) {
			active.set(service, readActive(service) + 1);
			budgets.set(
				service,
				countRequest(readBudget(service), policy, clock.now()),
			);
			return () => {
				active.set(service, readActive(service) - 1);
			};
		},
		hasLeft: (service, isLate) => trySpend(service, isLate) !== undefined,
		spend(service, isLate) {
			const updatedBudget = trySpend(service, isLate);
			if (updatedBudget !== undefined) {
				budgets.set(service, updatedBudget);
			}

			return updatedBudget !== undefined;
		},
		readCounts: () =>
			Object.fromEntries(
				[...budgets].map(([service, budget]) => [
					service,
					{
						...countWindow(budget, policy, clock.now()),
						active: readActive(service),
						recent: countRecent(budget, clock.now()),
					},
				]),
			),
		readDemand(service) {
			const budget = readBudget(service);
			const toDemand = ({requests, retries, recent = 0}: RetryCounts) => ({
				window: requests + retries,
				recent,
			});
			const own = {
				...countWindow(budget, policy, clock.now()),
				recent: countRecent(budget, clock.now()),
			};
			const others = readRemoteCounts(service);
			return estimateDemand(
				toDemand(own),
				others === undefined ? undefined : toDemand(others),
				{instances: countEntries(), windowMs: policy.windowMs},
			);
		},
		updateRemoteCounts(counts) {
			remoteCounts = counts;
			reportedActive = [...reportedActive.slice(-1), new Map(active)];
			remoteCountsAt = clock.now();
		},
	};
}

/**
 * Decides whether a failed attempt is retried; deducts from the budget only if
 * it is.
 */
export function decideWithinBudget(
	budgets: RetryBudgets,
	service: string,
	inputs: Omit<RetryInputs, 'hasBudget'> & Readonly<{isLate: boolean}>,
	hasRun: boolean,
): RetryDecision {
	const decision = decideRetry({...inputs, hasBudget: true}, hasRun);
	const isUncharged = inputs.failure.kind === 'not-sent';
	return decision.kind === 'retry' &&
		!isUncharged &&
		!budgets.spend(service, inputs.isLate)
		? decideRetry({...inputs, hasBudget: false}, hasRun)
		: decision;
}
