/** Why a command failed. */
export type ErrorKind =
	| 'failed'
	| 'usage'
	| 'invalid-configuration'
	| 'conflict'
	| 'unavailable'
	| 'forbidden'
	| 'timed-out';

/** Exit code of a successful command. */
export const EXIT_OK = 0;

/** Exit codes of failures, documented in docs/OPERATIONS.md. */
export const EXIT_CODES: Readonly<Record<ErrorKind, number>> = {
	failed: 1,
	usage: 2,
	'invalid-configuration': 3,
	conflict: 4,
	unavailable: 5,
	forbidden: 6,
	'timed-out': 7,
};
