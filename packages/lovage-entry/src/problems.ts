import type {RefusalReason, RefusalDetail} from '@lovagevalve/entry-role';
import {createProblem, type Problem, type ProblemType} from '@lovagevalve/wire';

/** A caller need not tell one backend server from the service. */
function getProblemType(reason: RefusalReason): ProblemType {
	return reason === 'backend-refused' ? 'unavailable' : reason;
}

/** Turns a refusal of the entry into a problem document. */
export function createRefusalProblem(refusal: RefusalDetail): Problem {
	const {reason, detail, outcome, retryAfterMs, addresses} = refusal;
	return createProblem(getProblemType(reason), detail, {
		outcome,
		retryAfterMs,
		addresses,
	});
}
