/** A request that reaches an instance whose process is about to end. */
export type DrainInputs = Readonly<{
	/** Time until the process ends, in milliseconds. */
	leftMs: number;
	/** Time after which the request ends in any case, in milliseconds. */
	allowedMs: number;
	/** Longest time that requests of its route took lately; absent if few were seen. */
	longestMs?: number;
	/** Whether its caller may take up an answer that is cut. */
	isResumable: boolean;
	/** Whether other instances take requests. */
	hasOthers: boolean;
}>;

/** Whether a draining instance takes a request, or when its caller may come back. */
export type DrainDecision =
	| Readonly<{kind: 'accept'; neededMs: number}>
	| Readonly<{kind: 'refuse'; neededMs: number; retryAfterMs: number}>;

/** Requests may take longer than the longest one so far. */
const NEEDED_SHARE = 1.25;
/** Another instance takes the request at once. */
const RETRY_ELSEWHERE_MS = 50;
/** Time from the end of a process until its successor serves. */
const RESTART_MS = 1500;

/**
 * Decides whether a draining instance takes a request. The end of the process cuts
 * whatever is under way, so it takes only what will be over by then, and refuses the
 * rest before any backend server has seen it. What other requests took says nothing
 * certain about the next one, so it counts only where a cut answer can be taken up.
 */
export function decideDrainAdmission({
	leftMs,
	allowedMs,
	longestMs,
	isResumable,
	hasOthers,
}: DrainInputs): DrainDecision {
	const neededMs =
		isResumable && longestMs !== undefined
			? Math.min(allowedMs, longestMs * NEEDED_SHARE)
			: allowedMs;
	return neededMs < leftMs
		? {kind: 'accept', neededMs}
		: {
				kind: 'refuse',
				neededMs,
				retryAfterMs: hasOthers
					? RETRY_ELSEWHERE_MS
					: Math.max(0, leftMs) + RESTART_MS,
			};
}
