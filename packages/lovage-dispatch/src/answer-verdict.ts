/** What the head of an answer says. */
export type AnswerHead = Readonly<{
	status: number;
	/** Id of the request that it names; empty if it names none. */
	named: string;
	/** It states that the request was not run. */
	isNotRun: boolean;
	/** It carries the signature that each success of a backend server carries. */
	isSigned: boolean;
}>;

/** Who was asked. */
export type AnswerSource =
	/** A backend server; its answers name the request that they belong to. */
	| 'backend'
	/**
	 * Another entry; only the answers that it passes on name a request, its own
	 * refusals name none.
	 */
	| 'peer'
	/** A backend server that was sent a command, which carries no request id. */
	| 'command';

/** The request that an answer is expected to. */
export type ExpectedAnswer = Readonly<{
	source: AnswerSource;
	requestId: string;
	/** Whether the request may run more than once. */
	isRepeatable: boolean;
}>;

/** Whose answer it is, and what it promises. */
export type AnswerVerdict =
	/** It belongs to another request and says nothing about this one, which may run. */
	| 'foreign'
	/** The request was not run and never will be. */
	| 'not-run'
	/**
	 * Its status tells callers that the request has not run, which the answer does not
	 * state, of a request that must not run twice.
	 */
	| 'unpromised'
	/** A success that no backend server gave, or not with its whole head. */
	| 'unsigned'
	/** The answer for the caller. */
	| 'answer';

/** Statuses that tell a caller that the request has not run and never will. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const MIN_SUCCESS = 200;
const MIN_REDIRECTION = 300;

/** Whether an answer is shown to be another request's by the one that it names. */
function isForeign(
	{source, requestId}: ExpectedAnswer,
	named: string,
): boolean {
	switch (source) {
		case 'backend': {
			return named !== requestId;
		}

		case 'peer':
		case 'command': {
			return named !== '' && named !== requestId;
		}
	}
}

/**
 * Judges an answer by its head. Whose answer it is comes first: what one of
 * another request promises holds for that one.
 */
export function judgeAnswer(
	expected: ExpectedAnswer,
	{status, named, isNotRun, isSigned}: AnswerHead,
): AnswerVerdict {
	if (isForeign(expected, named)) {
		return 'foreign';
	}

	const isFromPeerItself = expected.source === 'peer' && named === '';
	if (isNotRun && (isFromPeerItself || expected.source !== 'peer')) {
		return 'not-run';
	}

	const isSuccess = status >= MIN_SUCCESS && status < MIN_REDIRECTION;
	if (isSuccess && !isSigned && expected.source !== 'command') {
		return 'unsigned';
	}

	return PROMISE_STATUSES.has(status) &&
		!expected.isRepeatable &&
		!isFromPeerItself
		? 'unpromised'
		: 'answer';
}
