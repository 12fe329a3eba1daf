import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {StoredAnswer} from './types.js';

/** Longest answer that is stored whole. */
export const MAX_ANSWER_BYTES = 65_536;

/** Size of an answer's body as JSON. */
export function measureAnswer(answer: StoredAnswer): number {
	return Buffer.byteLength(JSON.stringify(answer.body));
}

/** Replaces a body by its digest and size; the status is kept. */
export function summariseAnswer(answer: StoredAnswer): StoredAnswer {
	const text = JSON.stringify(answer.body);
	return {
		status: answer.status,
		body: {
			stored: 'digest',
			sha256: createHash('sha256').update(text).digest('hex'),
			bytes: Buffer.byteLength(text),
		},
	};
}

/** Keeps a short answer whole and the digest of a longer one. */
export function limitAnswerSize(answer: StoredAnswer): StoredAnswer {
	return measureAnswer(answer) > MAX_ANSWER_BYTES
		? summariseAnswer(answer)
		: answer;
}
