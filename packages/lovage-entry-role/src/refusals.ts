import type {ServiceLevelRecord} from './service-level-records.js';

/** Retry delay of a refusal unless a queue gives an estimate. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/** Reason for a refusal. The host maps it to a problem document. */
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

/** What is known about the execution of a refused request. */
export type RefusalOutcome = 'not-run' | 'unknown' | 'in-progress';

/** Refusal with details and hints for a retry. */
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

/** Refusals caused by the request and not by the service. */
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

/** Classifies a refusal for the service-level report. */
export function classifyRefusal(reason: RefusalReason): ServiceLevelOutcome {
	if (CALLER_ERRORS.has(reason)) {
		return 'rejected';
	}

	return reason === 'outcome-unknown' ? 'failed' : 'refused';
}
