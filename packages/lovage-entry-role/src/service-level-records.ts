/** What happened; amounts are tokens, or calls of a plain service. */
export type ServiceLevelRecordDetail =
	| {kind: 'first-token'; waitMs: number}
	| {
			kind: 'resumed';
			waitMs: number;
			cause: 'connection-lost' | 'backend-server-lost' | 'entry-lost';
	  }
	| {
			kind: 'ended';
			outcome: 'finished' | 'failed' | 'refused' | 'rejected';
	  }
	| {kind: 'worked'; amount: number}
	| {
			kind: 'extra-used';
			amount: number;
			cause: 'recomputed-prefill' | 'wasted-decode' | 'duplicate-attempt';
	  };

/** A fact for the report, about one customer at one service. */
export type ServiceLevelRecord = Readonly<{customer: string; service: string}> &
	ServiceLevelRecordDetail;
