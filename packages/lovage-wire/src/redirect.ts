/** Responses that any control instance may send instead of a result. */
export type Redirect =
	/** The request must go to the leader; `leader` is its address, if known. */
	| {kind: 'not-leader'; leader?: string}
	/** No quorum confirmed the request; a change may or may not have been applied. */
	| {kind: 'unavailable'};
