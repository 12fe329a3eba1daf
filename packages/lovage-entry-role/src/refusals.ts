import type {ServiceLevelRecord} from './service-level-records.js';

/** When a refused caller should come back unless a queue knows better. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/** Why a caller gets no answer. The host turns it into a problem document. */
export type RefusalReason =
	| 'unauthenticated'
	| 'no-lease'
	| 'draining'
	| 'unknown-service'
	| 'invalid-request'
	| 'too-large'
	| 'overloaded'
	| 'no-backend-server'
	| 'deadline-passed'
	| 'retry-budget-spent'
	| 'quarantined'
	| 'conflict'
	| 'in-progress'
	| 'outcome-unknown'
	| 'not-run'
	| 'id-too-old'
	| 'unsettled'
	| 'invalid-cursor'
	| 'prefix-missing'
	| 'generation-lost'
	| 'backend-refused';

/** What is known of the work behind a refused request. */
export type RefusalOutcome = 'not-run' | 'unknown' | 'in-progress';

/** A refusal with what the caller may do next. */
export type RefusalDetail = Readonly<{
	reason: RefusalReason;
	detail: string;
	outcome?: RefusalOutcome;
	retryAfterMs?: number;
	addresses?: readonly string[];
}>;

type ServiceLevelOutcome = Extract<
	ServiceLevelRecord,
	{kind: 'ended'}
>['outcome'];

/** Refusals that lie in the request and not in the service. */
const CALLER_ERRORS: ReadonlySet<RefusalReason> = new Set([
	'unauthenticated',
	'unknown-service',
	'invalid-request',
	'too-large',
	'quarantined',
	'conflict',
	'in-progress',
	'id-too-old',
	'invalid-cursor',
	'prefix-missing',
	'not-run',
]);

/** Says how a refused request counts in the report. */
export function classifyRefusal(reason: RefusalReason): ServiceLevelOutcome {
	if (CALLER_ERRORS.has(reason)) {
		return 'rejected';
	}

	return reason === 'outcome-unknown' ? 'failed' : 'refused';
}
