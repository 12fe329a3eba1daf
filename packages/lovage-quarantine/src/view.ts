import {judgeAll} from './judge.js';
import type {QuarantineState, QuarantineSummary} from './types.js';

/** Summarises the quarantine for entries; most suspected first. */
export function viewQuarantine(state: QuarantineState): QuarantineSummary {
	const judged = judgeAll(state);
	const pending = state.deaths
		.filter(({verdict}) => verdict === 'pending')
		.flatMap(({digests}) => digests);
	const suspects = new Set([...Object.keys(state.records), ...pending]);
	const isOpen = (digest: string) => state.convicted[digest] === undefined;
	const feared = Object.keys(judged.convicted);
	const weigh = (digest: string) =>
		judged.convicted[digest] === undefined
			? (judged.records[digest]?.strikes ?? 0)
			: Number.MAX_VALUE;
	return {
		version: state.version,
		suspects: [...suspects]
			.filter(isOpen)
			.toSorted()
			.toSorted((left, right) => weigh(right) - weigh(left)),
		held: feared.filter(isOpen).toSorted(),
		convicted: Object.keys(state.convicted).toSorted(),
	};
}
