import {Buffer} from 'node:buffer';
import {deflateSync, inflateSync} from 'node:zlib';
import {hasTooManyValues, MAX_MESSAGE_BYTES} from './json-bounds.js';

/** Content encoding between instances; a client that doesn't accept it receives the plain body. */
export const BODY_ENCODING = 'deflate';

/** Compressing smaller bodies costs more processor time than it saves on the links. */
const MIN_ENCODED_BYTES = 1024;
const FASTEST_LEVEL = 1;

/** Body as it is sent, with the headers that describe it. */
export type EncodedBody = Readonly<{
	content: Uint8Array;
	headers: Readonly<Record<string, string | number>>;
}>;

/** Encodes a response body for a client that accepts `acceptedEncoding`. */
export function encodeBody(
	text: string,
	acceptedEncoding: string | undefined,
): EncodedBody {
	const plain = Buffer.from(text);
	const isEncoded =
		acceptedEncoding === BODY_ENCODING && plain.length >= MIN_ENCODED_BYTES;
	const content = isEncoded
		? deflateSync(plain, {level: FASTEST_LEVEL})
		: plain;
	return {
		content,
		headers: {
			'Content-Length': content.length,
			...(isEncoded ? {'Content-Encoding': BODY_ENCODING} : {}),
		},
	};
}

/** Decodes a response body of JSON; throws if it is damaged, too large or has too many values. */
export function decodeBody(
	content: Uint8Array,
	encoding: string | undefined,
): string {
	const plain =
		encoding === BODY_ENCODING
			? inflateSync(content, {maxOutputLength: MAX_MESSAGE_BYTES})
			: Buffer.from(content);
	if (hasTooManyValues(plain)) {
		throw new Error('the body has too many values');
	}

	return plain.toString('utf8');
}
