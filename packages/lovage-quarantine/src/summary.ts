import {listKeys} from './deaths.js';
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
	const positions = new Map(
		state.deaths
			.flatMap((death) => listKeys(death))
			.map((key, i): [string, number] => [key, i])
			.toReversed(),
	);
	const readPosition = (key: string): number => positions.get(key) ?? -1;
	const pendingDeaths = state.deaths.filter(
		({verdict}) => verdict === 'pending',
	);
	const pendingDigests = pendingDeaths.flatMap((death) => listKeys(death));
	const knownDigests = new Set([
		...Object.keys(state.records).filter(
			(key) => state.records[key]!.strikes > 0,
		),
		...pendingDigests,
	]);
	const convicted = {...state.uncertain, ...state.convicted};
	const isNotConvicted = (digest: string) => convicted[digest] === undefined;
	const expectedConvictions = Object.keys({
		...evaluated.uncertain,
		...evaluated.convicted,
	});
	const countStrikes = (digest: string) =>
		evaluated.convicted[digest] === undefined
			? (evaluated.records[digest]?.strikes ?? 0)
			: Number.MAX_VALUE;
	// Suspects whose deaths have been dropped have index -1 and come first.
	const suspects = [...knownDigests]
		.filter(isNotConvicted)
		.toSorted()
		.toSorted((left, right) => readPosition(left) - readPosition(right));
	return {
		version: state.version,
		suspects,
		leading: findLeading(suspects, countStrikes),
		dead: pendingDeaths.map(({backend, incarnation}) => ({
			backend,
			incarnation,
		})),
		held: expectedConvictions.filter(isNotConvicted).toSorted(),
		convicted: Object.keys(convicted).toSorted(),
	};
}
