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
	const freeAtReport = candidates.map(({capacity, inFlight, report}) =>
		Math.max(
			0,
			capacity - (report ? report.running + report.waiting : inFlight),
		),
	);
	const startedSinceReport = candidates.map(({inFlight, report}) =>
		Math.max(0, inFlight - (report?.inFlightAtReport ?? inFlight)),
	);
	const freeNow = candidates.map((candidate) =>
		Math.max(0, candidate.capacity - estimateOccupancy(candidate)),
	);
	const totalFreeAtReport = sum(freeAtReport);
	const entryShare =
		totalFreeAtReport === 0
			? 0
			: Math.max(1, Math.floor(totalFreeAtReport / entries));
	return Math.min(
		sum(freeNow),
		Math.max(0, entryShare - sum(startedSinceReport)),
	);
}
