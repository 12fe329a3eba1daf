import type {Candidate} from './types.js';

/**
 * Estimates the number of requests on a backend server: its last report plus
 * the requests that this entry has started since, minus those that finished.
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

/** Estimates the share of the prompt's prefixes that a backend server has cached. */
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
