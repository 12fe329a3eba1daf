import {pairHeaders} from './hop-by-hop-headers.js';

/** What Node.js reports of the head of an answer. */
export type AnswerHead = Readonly<{
	statusCode?: number | undefined;
	/** Alternating names and values. */
	rawHeaders: readonly string[];
}>;

/** Informational answers are not reported as answers. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
/**
 * Codings that are undone here or change nothing. `Transfer-Encoding` is not passed
 * on, so a body in another coding would reach the caller as if it had none.
 */
const TRANSFER_CODINGS: ReadonlySet<string> = new Set([
	'',
	'chunked',
	'identity',
]);
const TOKEN = /^[!#$%&'*+\-.^`|~\w]+$/;

function readTransferCoding(rawHeaders: readonly string[]): string {
	return pairHeaders(rawHeaders)
		.filter(([name]) => name.toLowerCase() === 'transfer-encoding')
		.map(([, value]) => value.trim().toLowerCase())
		.join(', ');
}

/** Whether the end of the connection is the end of a body, if the answer has one. */
export function isCloseDelimited(rawHeaders: readonly string[]): boolean {
	return (
		readTransferCoding(rawHeaders) !== 'chunked' &&
		!rawHeaders.some(
			(text, i) => i % 2 === 0 && text.toLowerCase() === 'content-length',
		)
	);
}

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
	if (!hasOnlyTokens) {
		return 'malformed name of a header';
	}

	return TRANSFER_CODINGS.has(readTransferCoding(rawHeaders))
		? undefined
		: 'unknown transfer coding';
}
