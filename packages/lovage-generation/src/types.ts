/** Identifies one attempt to run a generation; counts from 1. */
export type Attempt = number;

/** Why a generation ended without its whole answer. */
export type FailureReason =
	| 'no-backend-server'
	| 'retry-budget-spent'
	| 'quarantined'
	| 'deadline-passed'
	| 'backend-refused'
	| 'prefix-missing'
	| 'caller-left';

/** How a backend server lost a generation. */
export type DeathCause =
	/** No probe was answered. */
	| 'unreachable'
	/** It answers, but holds the generation no more: it may have restarted. */
	| 'not-held'
	/** It answers, but went on too long without a token or with faults. */
	| 'stalled';

/** Events of one generation. Times are monotonic milliseconds. */
export type GenerationEvent =
	/** A backend server was chosen; answers the effect `place`. */
	| {kind: 'placed'; backend: string; now: number}
	/** No backend server will be chosen: the generation is given up. */
	| {kind: 'placement-refused'; reason: FailureReason; now: number}
	/** The stream of this attempt and connection is open. */
	| {kind: 'connected'; connection: number; now: number}
	/** Tokens arrived on a connection. */
	| {
			kind: 'chunk-received';
			connection: number;
			generation: string;
			attempt: Attempt;
			offset: number;
			count: number;
			now: number;
	  }
	/** The backend server says that the answer is whole. */
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
			/** The connection was never made; absent if that isn't known. */
			isUnreached?: boolean;
			now: number;
	  }
	/** The backend server answered an error before any token. */
	| {
			kind: 'backend-refused';
			connection: number;
			/** Whether another backend server may accept the same request. */
			transient: boolean;
			now: number;
	  }
	/** The probe on a new connection was answered. */
	| {
			kind: 'probe-answered';
			probe: number;
			/** Whether the backend server still holds this generation and attempt. */
			held: boolean;
			/** Tokens that the backend server has generated so far. */
			length: number;
			now: number;
	  }
	| {kind: 'probe-failed'; probe: number; now: number}
	/** The backend server left the view or was declared dead by other means. */
	| {kind: 'backend-lost'; backend: string; now: number}
	/** The caller won't come back: the work is cancelled. */
	| {kind: 'caller-left'; now: number}
	/** Another entry took the generation over: nothing is cancelled. */
	| {kind: 'taken-over'; now: number}
	/** Reading stopped because the caller is slow: silence proves nothing. */
	| {kind: 'caller-blocked'; now: number}
	/** Reading goes on. */
	| {kind: 'caller-ready'; now: number}
	| {kind: 'ticked'; now: number};

/** Effects of one generation, run by the host in order. */
export type GenerationEffect =
	/** Choose a backend server, other than the excluded ones if possible. */
	| {kind: 'place'; excluded: readonly string[]; resumed: boolean}
	/** Start an attempt with the first `prefixLength` delivered tokens as prefix. */
	| {
			kind: 'start';
			backend: string;
			attempt: Attempt;
			connection: number;
			prefixLength: number;
	  }
	/** Open a new stream of a running attempt, from `offset` on. */
	| {
			kind: 'resume';
			backend: string;
			attempt: Attempt;
			connection: number;
			offset: number;
	  }
	/** Close a connection without waiting for more. */
	| {kind: 'close'; connection: number}
	/** Ask on a new connection whether the backend server holds the attempt. */
	| {kind: 'probe'; backend: string; attempt: Attempt; probe: number}
	/** Cancel an attempt at its backend server, now or when it comes back. */
	| {kind: 'cancel'; backend: string; attempt: Attempt}
	/** Pass on the last `count` tokens of the chunk just received. */
	| {kind: 'deliver'; offset: number; count: number}
	/**
	 * Keep `count` tokens of the chunk just received, from `offset` on, as
	 * prefix without passing them on: another entry delivered them.
	 */
	| {kind: 'retain'; offset: number; count: number}
	/** The backend server lost this generation while it ran it. */
	| {
			kind: 'report-death';
			backend: string;
			attempt: Attempt;
			cause: DeathCause;
			/** Whether the attempt ran there: its stream opened. */
			ran: boolean;
	  }
	/** The caller waited this long between two tokens because of a loss. */
	| {kind: 'report-resume'; waitMs: number; inPlace: boolean}
	/** The whole answer was passed on. */
	| {kind: 'finish'; total: number}
	/** Final answer without the rest. */
	| {kind: 'fail'; reason: FailureReason};
