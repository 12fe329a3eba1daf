import {estimateOccupancy} from './load.js';
import type {Candidate} from './types.js';

function sum(counts: readonly number[]): number {
	return counts.reduce((total, count) => total + count, 0);
}

/**
 * Counts the slots that one of several entries may fill now: its part of what
 * the reports show as free, less what it has started since they came. Without
 * that, each entry takes its part of the same slots until the next report.
 */
export function countFreeSlots(
	candidates: readonly Candidate[],
	entries: number,
): number {
	const reported = candidates.map(({capacity, inFlight, report}) =>
		Math.max(
			0,
			capacity - (report ? report.running + report.waiting : inFlight),
		),
	);
	const started = candidates.map(({inFlight, report}) =>
		Math.max(0, inFlight - (report?.inFlightThen ?? inFlight)),
	);
	const left = candidates.map((candidate) =>
		Math.max(0, candidate.capacity - estimateOccupancy(candidate)),
	);
	const free = sum(reported);
	const part = free === 0 ? 0 : Math.max(1, Math.floor(free / entries));
	return Math.min(sum(left), Math.max(0, part - sum(started)));
}
