/** Answers any control instance may give instead of an outcome. */
export type Redirect =
	/** Ask the leader; its address if known. */
	| {kind: 'not-leader'; leader?: string}
	/** No quorum answers; nothing is known to have changed. */
	| {kind: 'unavailable'};
