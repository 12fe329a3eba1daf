import {evaluatePendingDeaths} from './evaluate.js';
import type {QuarantineState, QuarantineSummary} from './types.js';

/** Smallest number of strikes of a leading suspect. */
const LEADING_STRIKES = 2;

/** Finds the suspect with the most strikes; undefined if several have the same number. */
function findLeading(
	suspects: readonly string[],
	countStrikes: (digest: string) => number,
): string | undefined {
	const highest = Math.max(LEADING_STRIKES, ...suspects.map(countStrikes));
	const found = suspects.filter((digest) => countStrikes(digest) === highest);
	return found.length === 1 ? found[0] : undefined;
}

/** Summarizes the quarantine for entries. */
export function summarizeQuarantine(state: QuarantineState): QuarantineSummary {
	const evaluated = evaluatePendingDeaths(state);
	const digestsInOrder = state.deaths.flatMap(({digests}) => digests);
	const pendingDeaths = state.deaths.filter(
		({verdict}) => verdict === 'pending',
	);
	const pendingDigests = pendingDeaths.flatMap(({digests}) => digests);
	const knownDigests = new Set([
		...Object.keys(state.records),
		...pendingDigests,
	]);
	const isNotConvicted = (digest: string) =>
		state.convicted[digest] === undefined;
	const expectedConvictions = Object.keys(evaluated.convicted);
	const countStrikes = (digest: string) =>
		evaluated.convicted[digest] === undefined
			? (evaluated.records[digest]?.strikes ?? 0)
			: Number.MAX_VALUE;
	// Suspects whose deaths have been dropped have index -1 and come first.
	const suspects = [...knownDigests]
		.filter(isNotConvicted)
		.toSorted()
		.toSorted(
			(left, right) =>
				digestsInOrder.indexOf(left) - digestsInOrder.indexOf(right),
		);
	return {
		version: state.version,
		suspects,
		leading: findLeading(suspects, countStrikes),
		dead: pendingDeaths.map(({backend, incarnation}) => ({
			backend,
			incarnation,
		})),
		held: expectedConvictions.filter(isNotConvicted).toSorted(),
		convicted: Object.keys(state.convicted).toSorted(),
	};
}
