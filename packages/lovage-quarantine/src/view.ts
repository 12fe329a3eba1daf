import {judgeAll} from './judge.js';
import type {QuarantineState, QuarantineSummary} from './types.js';

/** Strikes from which one suspect is told from the others. */
const LEADING_STRIKES = 2;

/** Finds the one suspect with most strikes; undefined if several have as many. */
function findLeading(
	suspects: readonly string[],
	weigh: (digest: string) => number,
): string | undefined {
	const most = Math.max(LEADING_STRIKES, ...suspects.map(weigh));
	const found = suspects.filter((digest) => weigh(digest) === most);
	return found.length === 1 ? found[0] : undefined;
}

/** Summarises the quarantine for entries. */
export function viewQuarantine(state: QuarantineState): QuarantineSummary {
	const judged = judgeAll(state);
	const inOrder = state.deaths.flatMap(({digests}) => digests);
	const unjudged = state.deaths.filter(({verdict}) => verdict === 'pending');
	const pending = unjudged.flatMap(({digests}) => digests);
	const known = new Set([...Object.keys(state.records), ...pending]);
	const isOpen = (digest: string) => state.convicted[digest] === undefined;
	const feared = Object.keys(judged.convicted);
	const weigh = (digest: string) =>
		judged.convicted[digest] === undefined
			? (judged.records[digest]?.strikes ?? 0)
			: Number.MAX_VALUE;
	// Those whose deaths are forgotten already come first.
	const suspects = [...known]
		.filter(isOpen)
		.toSorted()
		.toSorted((left, right) => inOrder.indexOf(left) - inOrder.indexOf(right));
	return {
		version: state.version,
		suspects,
		leading: findLeading(suspects, weigh),
		dead: unjudged.map(({backend, incarnation}) => ({backend, incarnation})),
		held: feared.filter(isOpen).toSorted(),
		convicted: Object.keys(state.convicted).toSorted(),
	};
}
