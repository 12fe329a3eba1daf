import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {StoredAnswer} from './types.js';

/** Maximum size of an answer's body that is stored in full. */
export const MAX_ANSWER_BYTES = 65_536;

/** Returns the size of an answer's body as JSON, in bytes. */
export function measureAnswer(answer: StoredAnswer): number {
	return Buffer.byteLength(JSON.stringify(answer.body));
}

/** Replaces the body of an answer by its digest and size; keeps the status. */
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

/** Returns the answer in full, or summarised if its body is too long to store. */
export function limitAnswerSize(answer: StoredAnswer): StoredAnswer {
	return measureAnswer(answer) > MAX_ANSWER_BYTES
		? summariseAnswer(answer)
		: answer;
}
