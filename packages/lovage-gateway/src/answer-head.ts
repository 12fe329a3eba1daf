/** What Node.js reports of the head of an answer. */
export type AnswerHead = Readonly<{
	statusCode?: number | undefined;
	/** Alternating names and values. */
	rawHeaders: readonly string[];
}>;

/** Informational answers are not reported as answers. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
const TOKEN = /^[!#$%&'*+\-.^`|~\w]+$/;

/**
 * Finds out why the head of an answer is none in the protocol; undefined if it is
 * one. Node.js reads some heads that it refuses to write, and throws.
 */
export function findHeadFault({
	statusCode = 0,
	rawHeaders,
}: AnswerHead): string | undefined {
	if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) {
		return `malformed status: ${statusCode}`;
	}

	const hasOnlyTokens = rawHeaders.every(
		(text, i) => i % 2 === 1 || TOKEN.test(text),
	);
	return hasOnlyTokens ? undefined : 'malformed name of a header';
}
