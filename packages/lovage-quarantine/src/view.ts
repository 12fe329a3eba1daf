import {judgeAll} from './judge.js';
import type {QuarantineState, QuarantineSummary} from './types.js';

/** Summarises the quarantine for entries, in a stable order. */
export function viewQuarantine(state: QuarantineState): QuarantineSummary {
	const pending = state.deaths
		.filter(({verdict}) => verdict === 'pending')
		.flatMap(({digests}) => digests);
	const suspects = new Set([...Object.keys(state.records), ...pending]);
	const isOpen = (digest: string) => state.convicted[digest] === undefined;
	const feared = Object.keys(judgeAll(state).convicted);
	return {
		version: state.version,
		suspects: [...suspects].filter(isOpen).toSorted(),
		held: feared.filter(isOpen).toSorted(),
		convicted: Object.keys(state.convicted).toSorted(),
	};
}
