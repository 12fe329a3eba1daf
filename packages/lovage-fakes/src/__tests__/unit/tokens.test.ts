import {describe, expect, it} from 'vitest';
import {
	createFirstToken,
	createNextToken,
	findTranscriptFault,
	verifyTranscript,
} from '../../tokens.js';

const PROMPT = 'Clear the lyrics of song 7.';

function generate(prompt: string, salt: string, length: number): string[] {
	return Array.from({length: length - 1}).reduce<string[]>(
		(tokens) => [
			...tokens,
			createNextToken(prompt, tokens.length, tokens.at(-1)!),
		],
		[createFirstToken(prompt, salt)],
	);
}

describe('verifyTranscript', () => {
	const answer = generate(PROMPT, 'aa', 12);

	it('accepts the tokens of a single run', () => {
		expect(verifyTranscript(PROMPT, answer)).toBe(true);
	});

	it('detects a missing and a repeated token', () => {
		expect(findTranscriptFault(PROMPT, answer.toSpliced(5, 1))).toBe(5);
		expect(
			findTranscriptFault(PROMPT, answer.toSpliced(5, 0, answer[5]!)),
		).toBe(6);
	});

	it('detects a splice of two runs of the same prompt', () => {
		const other = generate(PROMPT, 'bb', 12);
		const spliced = [...answer.slice(0, 6), ...other.slice(6)];
		expect(findTranscriptFault(PROMPT, spliced)).toBe(6);
	});

	it('detects the answer to another prompt at its first token', () => {
		const crossed = generate('Another prompt.', 'aa', 12);
		expect(findTranscriptFault(PROMPT, crossed)).toBe(0);
	});
});
