/** Stable error types returned to callers, operators and backend servers. */
export type ProblemType =
	| 'invalid-request'
	| 'unauthenticated'
	| 'forbidden'
	| 'not-found'
	| 'too-large'
	| 'unknown-service'
	| 'no-lease'
	| 'draining'
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
	| 'not-leader'
	| 'unavailable'
	| 'internal';

/** Whether the work of a refused request was run, as far as known. */
export type Outcome = 'not-run' | 'unknown' | 'in-progress' | 'done';

/** A problem document of RFC 9457 with extension members. */
export type Problem = Readonly<{
	type: `urn:lovagevalve:problem:${ProblemType}`;
	title: string;
	status: number;
	detail: string;
	outcome?: Outcome;
	/** When to retry, in milliseconds. */
	retryAfterMs?: number;
	/** Other addresses to try. */
	addresses?: readonly string[];
}>;

const STATUS_BY_TYPE: Readonly<Record<ProblemType, number>> = {
	'invalid-request': 400,
	unauthenticated: 401,
	forbidden: 403,
	'not-found': 404,
	'too-large': 413,
	'unknown-service': 404,
	'no-lease': 503,
	draining: 503,
	overloaded: 503,
	'no-backend-server': 503,
	'deadline-passed': 504,
	'retry-budget-spent': 503,
	quarantined: 422,
	conflict: 409,
	'in-progress': 409,
	'outcome-unknown': 409,
	'not-run': 503,
	'id-too-old': 410,
	unsettled: 503,
	'invalid-cursor': 400,
	'prefix-missing': 409,
	'generation-lost': 410,
	'not-leader': 503,
	unavailable: 503,
	internal: 500,
};

/** Media type of a problem document. */
export const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** Creates a problem document; its type determines its status. */
export function createProblem(
	type: ProblemType,
	detail: string,
	extra: Readonly<Pick<Problem, 'outcome' | 'retryAfterMs' | 'addresses'>> = {},
): Problem {
	return {
		type: `urn:lovagevalve:problem:${type}`,
		title: type.replaceAll('-', ' '),
		status: STATUS_BY_TYPE[type],
		detail,
		...extra,
	};
}

/** Whether a parsed body is a problem document of this system. */
export function isProblem(value: unknown): value is Problem {
	return (
		typeof value === 'object' &&
		value !== null &&
		'type' in value &&
		typeof value.type === 'string' &&
		value.type.startsWith('urn:lovagevalve:problem:')
	);
}
