// Guards against promises of an answer that is believed for another request.
import {describe, expect, it} from 'vitest';
import {
	type AnswerSource,
	type AnswerVerdict,
	judgeAnswer,
} from '../../answer-verdict.js';

const OWN = 'r-1';
const OTHER = 'r-0';
const NONE = '';
const SOURCES: readonly AnswerSource[] = ['backend', 'peer', 'command'];

function judge(
	source: AnswerSource,
	named: string,
	isNotRun = false,
): AnswerVerdict {
	return judgeAnswer({source, requestId: OWN}, {named, isNotRun});
}

describe('whose answer it is', () => {
	it.each(SOURCES)('is decided before what it says, from a %s', (source) => {
		expect(judge(source, OTHER)).toBe('foreign');
		expect(judge(source, OTHER, true)).toBe('foreign');
	});

	it('is not known of a backend server that names no request', () => {
		expect(judge('backend', NONE, true)).toBe('foreign');
		expect(judge('backend', NONE)).toBe('foreign');
	});

	it('is known of commands and entries, whose own answers name no request', () => {
		expect(judge('command', NONE)).toBe('answer');
		expect(judge('peer', NONE)).toBe('answer');
	});

	it('is known of a request without an id', () => {
		const verdict = judgeAnswer(
			{source: 'backend', requestId: NONE},
			{named: NONE, isNotRun: true},
		);
		expect(verdict).toBe('not-run');
	});
});

describe('what an own answer promises', () => {
	it('is "not run" if a backend server says so', () => {
		expect(judge('backend', OWN, true)).toBe('not-run');
		expect(judge('command', OWN, true)).toBe('not-run');
	});

	it('is "not run" if an entry says so itself, not in what it passes on', () => {
		expect(judge('peer', NONE, true)).toBe('not-run');
		expect(judge('peer', OWN, true)).toBe('answer');
	});
});
