/** Measured event; amounts are tokens, or calls for a plain service. */
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

/** Measurement for the service-level report of one customer and service. */
export type ServiceLevelRecord = Readonly<{customer: string; service: string}> &
	ServiceLevelRecordDetail;
