import type {RefusalReason, RefusalDetail} from '@lovagevalve/entry-role';
import {createProblem, type Problem, type ProblemType} from '@lovagevalve/wire';

/**
 * Maps a refusal by a backend server to `unavailable`: callers see the service,
 * not its backend servers.
 */
function getProblemType(reason: RefusalReason): ProblemType {
	return reason === 'backend-refused' ? 'unavailable' : reason;
}

/** Converts a refusal into a problem document. */
export function createRefusalProblem(refusal: RefusalDetail): Problem {
	const {reason, detail, outcome, retryAfterMs, addresses} = refusal;
	return createProblem(getProblemType(reason), detail, {
		outcome,
		retryAfterMs,
		addresses,
	});
}
