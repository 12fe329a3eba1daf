/** Identifies one attempt to run a generation; counts from 1. */
export type Attempt = number;

/** Why a generation ended without its complete answer. */
export type FailureReason =
	| 'no-backend-server'
	| 'retry-budget-spent'
	| 'quarantined'
	| 'deadline-passed'
	| 'backend-refused'
	| 'prefix-missing'
	| 'caller-left';

/** Why an attempt is considered lost on its backend server. */
export type DeathCause =
	/** The backend server answered no probe. */
	| 'unreachable'
	/** It answers, but no longer has the attempt: it may have restarted. */
	| 'not-held'
	/** It answers, but resumes after silence or errors brought no new token. */
	| 'stalled';

/** Events of one generation. Times are monotonic milliseconds. */
export type GenerationEvent =
	/** A backend server was chosen, in response to the effect `place`. */
	| {kind: 'placed'; backend: string; now: number}
	/** No backend server will be chosen, so the generation fails. */
	| {kind: 'placement-refused'; reason: FailureReason; now: number}
	/** The connection is open: the backend server accepted the attempt. */
	| {kind: 'connected'; connection: number; now: number}
	/** `count` tokens from position `offset` on arrived on a connection. */
	| {
			kind: 'chunk-received';
			connection: number;
			generation: string;
			attempt: Attempt;
			offset: number;
			count: number;
			now: number;
	  }
	/** The backend server reports that the answer is complete with `total` tokens. */
	| {
			kind: 'end-received';
			connection: number;
			generation: string;
			attempt: Attempt;
			total: number;
			now: number;
	  }
	| {
			kind: 'connection-lost';
			connection: number;
			/** Whether the connection was never established; absent if unknown. */
			isUnreached?: boolean;
			now: number;
	  }
	/** The backend server answered with an error before any token. */
	| {
			kind: 'backend-refused';
			connection: number;
			/** Whether another backend server may accept the same request. */
			transient: boolean;
			now: number;
	  }
	/** The backend server answered a probe. */
	| {
			kind: 'probe-answered';
			probe: number;
			/** Whether the backend server still has this attempt. */
			held: boolean;
			/** Number of tokens that the backend server has generated so far. */
			length: number;
			now: number;
	  }
	| {kind: 'probe-failed'; probe: number; now: number}
	/** The backend server left, or another detector considers it dead. */
	| {kind: 'backend-lost'; backend: string; now: number}
	/** The caller is gone for good: the attempt is cancelled. */
	| {kind: 'caller-left'; now: number}
	/** Another entry took over the generation: the attempt goes on, not cancelled. */
	| {kind: 'taken-over'; now: number}
	/** Reading is paused because the caller is slow; silence is not a failure now. */
	| {kind: 'caller-blocked'; now: number}
	/** Reading is resumed. */
	| {kind: 'caller-ready'; now: number}
	| {kind: 'ticked'; now: number};

/** Effects of one generation; the host runs them in order. */
export type GenerationEffect =
	/** Choose a backend server, avoiding the excluded ones if possible. */
	| {kind: 'place'; excluded: readonly string[]; resumed: boolean}
	/** Start an attempt that continues after the first `prefixLength` tokens. */
	| {
			kind: 'start';
			backend: string;
			attempt: Attempt;
			connection: number;
			prefixLength: number;
	  }
	/** Open a new stream of a running attempt, starting at `offset`. */
	| {
			kind: 'resume';
			backend: string;
			attempt: Attempt;
			connection: number;
			offset: number;
	  }
	/** Close a connection without reading further from it. */
	| {kind: 'close'; connection: number}
	/** Ask the backend server, on a new connection, whether it has the attempt. */
	| {kind: 'probe'; backend: string; attempt: Attempt; probe: number}
	/** Cancel an attempt on its backend server, now or once it is reachable again. */
	| {kind: 'cancel'; backend: string; attempt: Attempt}
	/** Deliver the last `count` tokens of the received chunk to the caller. */
	| {kind: 'deliver'; offset: number; count: number}
	/**
	 * Store `count` tokens of the received chunk, from position `offset` on, as
	 * part of the prefix. They are not delivered: another entry has done so.
	 */
	| {kind: 'retain'; offset: number; count: number}
	/** The attempt was lost on its backend server. */
	| {
			kind: 'report-death';
			backend: string;
			attempt: Attempt;
			cause: DeathCause;
			/** Whether the backend server accepted the attempt, that is, ran it. */
			ran: boolean;
	  }
	/** A loss delayed the next token to the caller by `waitMs`. */
	| {kind: 'report-resume'; waitMs: number; inPlace: boolean}
	/** The complete answer of `total` tokens was delivered. */
	| {kind: 'finish'; total: number}
	/** The generation failed; no further token follows. */
	| {kind: 'fail'; reason: FailureReason};
