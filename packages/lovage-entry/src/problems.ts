import type {Refusal, RefusalDetail} from '@lovagevalve/entry-role';
import {createProblem, type Problem, type ProblemType} from '@lovagevalve/wire';

const TYPES: Readonly<Record<Refusal, ProblemType>> = {
	unauthenticated: 'unauthenticated',
	'no-lease': 'no-lease',
	draining: 'draining',
	'unknown-service': 'unknown-service',
	'invalid-request': 'invalid-request',
	'too-large': 'too-large',
	overloaded: 'overloaded',
	'no-backend-server': 'no-backend-server',
	'deadline-passed': 'deadline-passed',
	'retry-budget-spent': 'retry-budget-spent',
	quarantined: 'quarantined',
	conflict: 'conflict',
	'in-progress': 'in-progress',
	'outcome-unknown': 'outcome-unknown',
	'not-run': 'not-run',
	'id-too-old': 'id-too-old',
	unsettled: 'unsettled',
	'invalid-cursor': 'invalid-cursor',
	'prefix-missing': 'prefix-missing',
	'generation-lost': 'generation-lost',
	'backend-refused': 'unavailable',
};

/** Turns a refusal of the entry into a problem document. */
export function createRefusalProblem(refusal: RefusalDetail): Problem {
	const {reason, detail, outcome, retryAfterMs, addresses} = refusal;
	return createProblem(TYPES[reason], detail, {
		outcome,
		retryAfterMs,
		addresses,
	});
}
