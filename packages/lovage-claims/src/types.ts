/** Value that JSON can carry. */
export type Json =
	| string
	| number
	| boolean
	// eslint-disable-next-line @typescript-eslint/no-restricted-types -- JSON has null.
	| null
	| Json[]
	| {[name: string]: Json};

/** Answer of a backend server as it is stored. */
export type StoredAnswer = {status: number; body: Json};

/** The one arrival of a request at an entry that may dispatch it. */
export type Holder = Readonly<{
	entry: string;
	incarnation: string;
	/** Names the arrival; a resend of the same question carries it again. */
	copy?: string;
}>;

/** Names a request and who asks to dispatch it. */
export type ClaimRequest = Holder &
	Readonly<{
		customer: string;
		requestId: string;
		/** Counted by the caller from 1; one more after each "not run". */
		attempt: number;
		/** Digest of service, operation and body. */
		digest: string;
	}>;

/** Final state that a holder reports. */
export type ClaimOutcome =
	| {kind: 'done'; answer: StoredAnswer}
	/** The holder handed out no byte and never will. */
	| {kind: 'not-run'}
	| {kind: 'unknown'};

/** Command of the replicated claims table. */
export type ClaimCommand =
	/** Asks for the right to dispatch. */
	| {kind: 'open'; request: ClaimRequest}
	/** Settles that the attempt is never run, unless a claim says otherwise. */
	| {kind: 'refuse'; request: ClaimRequest}
	| {
			kind: 'settle';
			claim: string;
			customer: string;
			requestId: string;
			outcome: ClaimOutcome;
	  }
	/** The holders' time has passed on the leader's monotonic clock. */
	| {kind: 'lapse'; claims: readonly string[]};

/** Command with what the replicated state machine knows beside it. */
export type ClaimEvent = Readonly<{
	command: ClaimCommand;
	/** Log time in milliseconds; never runs backwards. */
	at: number;
	/** How long a final state is kept, in milliseconds. */
	retentionMs: number;
}>;

/** State of a claim as an entry learns it. */
export type ClaimAnswer =
	| {kind: 'granted'; claim: string; dispatchWithinMs: number}
	| {kind: 'in-progress'}
	| {kind: 'done'; answer: StoredAnswer}
	| {kind: 'not-run'; attempt: number}
	| {kind: 'unknown'}
	| {kind: 'conflict'}
	| {kind: 'too-old'}
	| {kind: 'overloaded'};

/** Answer to the process that sent the command. */
export type ClaimEffect = {kind: 'answer'; answer: ClaimAnswer};

/** State of one claim. */
export type ClaimState = {kind: 'granted'} | ClaimOutcome;

/** What the table keeps of one request. */
export type ClaimRecord = Readonly<{
	claim: string;
	digest: string;
	/** Attempt that was granted, or the highest that is never run. */
	attempt: number;
	holder: Holder;
	state: ClaimState;
	/** Time that the request id carries, if it does; milliseconds. */
	issuedAt?: number;
	/** Size of the stored answer. */
	answerBytes: number;
}>;

/** Bounds of the claims table. */
export type ClaimLimits = Readonly<{
	records: number;
	/** Digests of request ids whose record was evicted. */
	spentIds: number;
	answerBytes: number;
	dispatchWithinMs: number;
}>;

/** Bounds that a control instance uses. */
export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
	records: 100_000,
	spentIds: 200_000,
	answerBytes: 33_554_432,
	dispatchWithinMs: 2000,
};
