import type {Rules} from '@lovagevalve/inventory';

/** Why an answer stood still before it went on. */
export const RESUME_CAUSES = [
	/** The connection was dead; the backend server still ran the generation. */
	'connection-lost',
	/** The generation went on at another backend server. */
	'backend-server-lost',
	/** The caller came back with a cursor to another entry. */
	'entry-lost',
] as const;

/** Why an answer stood still before it went on. */
export type ResumeCause = (typeof RESUME_CAUSES)[number];

/** What extra resources were used for. */
export const EXTRA_CAUSES = [
	/** The prompt or the prefix was computed again. */
	'recomputed-prefill',
	/** Tokens were generated that no caller got. */
	'wasted-decode',
	/** A call was sent again, or a generation ran twice. */
	'duplicate-attempt',
] as const;

/** What extra resources were used for. */
export type ExtraCause = (typeof EXTRA_CAUSES)[number];

/** How a request ended. */
export type RequestOutcome =
	| 'finished'
	| 'failed'
	/** The system could not serve it, and it did not run. */
	| 'refused'
	/** The request itself is at fault; no objective counts it. */
	| 'rejected';

/** Names whose request an event is about, and when, by the wall clock. */
type RequestEventBase = Readonly<{
	customer: string;
	service: string;
	at: number;
}>;

/**
 * What the report counts. Amounts are tokens for engine services and calls for
 * plain ones.
 */
export type ServiceLevelEvent =
	| (RequestEventBase & Readonly<{kind: 'first-token'; waitMs: number}>)
	| (RequestEventBase &
			Readonly<{kind: 'resumed'; waitMs: number; cause: ResumeCause}>)
	| (RequestEventBase & Readonly<{kind: 'ended'; outcome: RequestOutcome}>)
	/** Work that the requests themselves needed. */
	| (RequestEventBase & Readonly<{kind: 'worked'; amount: number}>)
	/** Work beyond it. */
	| (RequestEventBase &
			Readonly<{kind: 'extra-used'; amount: number; cause: ExtraCause}>)
	/** The objectives changed; what was counted stays as it was judged. */
	| Readonly<{kind: 'rules-changed'; rules: Rules}>;
