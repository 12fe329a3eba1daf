import {estimateOccupancy} from './load.js';
import type {Candidate} from './types.js';

function sum(counts: readonly number[]): number {
	return counts.reduce((total, count) => total + count, 0);
}

/**
 * Counts the slots that this entry may use now: its share of the slots that were
 * free at the last reports, minus the requests that it has started since.
 * Without the subtraction, an entry would use its share again and again until
 * the next report.
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
