import type {Candidate} from './types.js';

/**
 * Estimates the work on a backend server: its lagged report, corrected by
 * what this entry started and finished since.
 */
export function estimateOccupancy(candidate: Candidate): number {
	const {inFlight, report} = candidate;
	if (report === undefined) {
		return inFlight;
	}

	const change = inFlight - report.inFlightAtReport;
	return Math.max(inFlight, report.running + report.waiting + change);
}

/** Returns the estimated occupancy as a share of the capacity. */
export function estimateLoadShare(candidate: Candidate): number {
	return estimateOccupancy(candidate) / candidate.capacity;
}

/** Returns which share of the known prefixes its cache is thought to hold. */
export function getCachedShare(
	candidate: Candidate,
	prefixes: readonly string[],
): number {
	if (prefixes.length === 0) {
		return 0;
	}

	const longest = prefixes.findLastIndex((prefix) =>
		candidate.cachedPrefixes.has(prefix),
	);
	return (longest + 1) / prefixes.length;
}
