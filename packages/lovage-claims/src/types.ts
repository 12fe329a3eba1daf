/** A JSON value. */
export type Json =
	| string
	| number
	| boolean
	// eslint-disable-next-line @typescript-eslint/no-restricted-types -- JSON has null.
	| null
	| Json[]
	| {[name: string]: Json};

/** Stored answer of a backend server. */
export type StoredAnswer = {status: number; body: Json};

/** The only arrival of a request, at one entry, that may dispatch it. */
export type Holder = Readonly<{
	entry: string;
	incarnation: string;
	/** Id of the arrival; unchanged when the entry resends a command for it. */
	copy?: string;
}>;

/** Identifies a request and the arrival that asks to dispatch it. */
export type ClaimRequest = Holder &
	Readonly<{
		customer: string;
		requestId: string;
		/** Starts at 1; the caller increments it after each "not run". */
		attempt: number;
		/** Digest of service, operation and body. */
		digest: string;
	}>;

/** Final state reported by the holder of a claim. */
export type ClaimOutcome =
	| {kind: 'done'; answer: StoredAnswer}
	/** The holder sent no byte of the request to a backend server and never will. */
	| {kind: 'not-run'}
	| {kind: 'unknown'};

/** Command of the replicated claims table. */
export type ClaimCommand =
	/** Requests the right to dispatch. */
	| {kind: 'open'; request: ClaimRequest}
	/** Records that the attempt will never run, unless an existing claim contradicts it. */
	| {kind: 'refuse'; request: ClaimRequest}
	| {
			kind: 'settle';
			claim: string;
			customer: string;
			requestId: string;
			outcome: ClaimOutcome;
	  }
	/** The claims' holders timed out on the leader's monotonic clock. */
	| {kind: 'lapse'; claims: readonly string[]};

/** A command with its log time and the configured retention. */
export type ClaimEvent = Readonly<{
	command: ClaimCommand;
	/** Log time in milliseconds; never decreases. */
	at: number;
	/** How long a final state is kept, in milliseconds. */
	retentionMs: number;
}>;

/** Answer to an entry about a claim. */
export type ClaimAnswer =
	| {kind: 'granted'; claim: string; dispatchWithinMs: number}
	| {kind: 'in-progress'}
	| {kind: 'done'; answer: StoredAnswer}
	| {kind: 'not-run'; attempt: number}
	| {kind: 'unknown'}
	| {kind: 'conflict'}
	| {kind: 'too-old'}
	| {kind: 'overloaded'};

/** Sends an answer to the process that sent the command. */
export type ClaimEffect = {kind: 'answer'; answer: ClaimAnswer};

/** State of one claim. */
export type ClaimState = {kind: 'granted'} | ClaimOutcome;

/** The table's record of one request. */
export type ClaimRecord = Readonly<{
	claim: string;
	digest: string;
	/** The granted attempt, or the highest attempt that will never run. */
	attempt: number;
	holder: Holder;
	state: ClaimState;
	/** Time of the request id in milliseconds; absent for opaque ids. */
	issuedAt?: number;
	/** Size of the stored answer's body in bytes. */
	answerBytes: number;
}>;

/** Limits of the claims table. */
export type ClaimLimits = Readonly<{
	records: number;
	/** Maximum number of digests kept for request ids whose record was evicted. */
	spentIds: number;
	answerBytes: number;
	dispatchWithinMs: number;
}>;

/** Limits that a control instance uses. */
export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
	records: 100_000,
	spentIds: 200_000,
	answerBytes: 33_554_432,
	dispatchWithinMs: 2000,
};
