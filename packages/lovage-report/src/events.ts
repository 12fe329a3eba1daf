import type {Rules} from '@lovagevalve/inventory';

/** Why a response was interrupted before it resumed. */
export const RESUME_CAUSES = [
	/** The connection was lost while the backend server still ran the generation. */
	'connection-lost',
	/** The generation failed over to another backend server. */
	'backend-server-lost',
	/** The caller reconnected to another entry with a cursor. */
	'entry-lost',
] as const;

/** Why a response was interrupted before it resumed. */
export type ResumeCause = (typeof RESUME_CAUSES)[number];

/** What extra resources were used for. */
export const EXTRA_CAUSES = [
	/** The prompt or the prefix was recomputed. */
	'recomputed-prefill',
	/** Tokens were generated that no caller received. */
	'wasted-decode',
	/** A call was retried, or a generation ran twice. */
	'duplicate-attempt',
] as const;

/** What extra resources were used for. */
export type ExtraCause = (typeof EXTRA_CAUSES)[number];

/** How a request ended. */
export type RequestOutcome =
	| 'finished'
	| 'failed'
	/** The system could not serve the request, and it did not run. */
	| 'refused'
	/** The request was invalid; it does not count towards any objective. */
	| 'rejected';

/** Customer and service of a request, and the wall-clock time of the event. */
type RequestEventBase = Readonly<{
	customer: string;
	service: string;
	at: number;
}>;

/**
 * Events that the report counts. Amounts are tokens for engine services and
 * calls for plain services.
 */
export type ServiceLevelEvent =
	| (RequestEventBase & Readonly<{kind: 'first-token'; waitMs: number}>)
	| (RequestEventBase &
			Readonly<{kind: 'resumed'; waitMs: number; cause: ResumeCause}>)
	| (RequestEventBase & Readonly<{kind: 'ended'; outcome: RequestOutcome}>)
	/** Regular work: what the requests need without failures. */
	| (RequestEventBase & Readonly<{kind: 'worked'; amount: number}>)
	/** Extra work caused by failures and retries. */
	| (RequestEventBase &
			Readonly<{kind: 'extra-used'; amount: number; cause: ExtraCause}>)
	/** The objectives changed; events counted so far are not re-evaluated. */
	| Readonly<{kind: 'rules-changed'; rules: Rules}>;
