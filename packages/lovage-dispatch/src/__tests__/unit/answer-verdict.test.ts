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
const PROMISES = [408, 421, 429, 503];
const PROMISE_KINDS = [
	{isNotRun: true, isRepeatable: true},
	{isNotRun: true, isRepeatable: false},
	{isNotRun: false, isRepeatable: true},
	{isNotRun: false, isRepeatable: false},
];

function judge(
	source: AnswerSource,
	status: number,
	named: string,
	{isNotRun = false, isRepeatable = false, isSigned = true} = {},
): AnswerVerdict {
	return judgeAnswer(
		{source, requestId: OWN, isRepeatable},
		{status, named, isNotRun, isSigned},
	);
}

describe('whose answer it is', () => {
	it.each(SOURCES)('is decided before what it says, from a %s', (source) => {
		const verdicts = [200, 400, 500, ...PROMISES].flatMap((status) =>
			PROMISE_KINDS.map((kind) => judge(source, status, OTHER, kind)),
		);
		expect(new Set(verdicts)).toEqual(new Set(['foreign']));
	});

	it('is not known of a backend server that names no request', () => {
		expect(judge('backend', 503, NONE, {isNotRun: true})).toBe('foreign');
		expect(judge('backend', 200, NONE)).toBe('foreign');
	});

	it('is known of commands and entries, whose own answers name no request', () => {
		expect(judge('command', 200, NONE)).toBe('answer');
		expect(judge('peer', 404, NONE)).toBe('answer');
	});

	it('is known of a request without an id', () => {
		const verdict = judgeAnswer(
			{source: 'backend', requestId: NONE, isRepeatable: false},
			{status: 400, named: NONE, isNotRun: true, isSigned: false},
		);
		expect(verdict).toBe('not-run');
	});
});

describe('what an own answer promises', () => {
	it.each([400, ...PROMISES])(
		'is "not run" if a backend server says so with status %i',
		(status) => {
			[true, false].forEach((isRepeatable) => {
				const promise = {isNotRun: true, isRepeatable};
				expect(judge('backend', status, OWN, promise)).toBe('not-run');
				expect(judge('command', status, OWN, promise)).toBe('not-run');
			});
		},
	);

	it('is "not run" if an entry says so itself, not in what it passes on', () => {
		const cutOff = {isNotRun: true, isRepeatable: true};
		expect(judge('peer', 503, NONE, cutOff)).toBe('not-run');
		expect(judge('peer', 503, OWN, cutOff)).toBe('answer');
	});

	it.each(PROMISES)(
		'is nothing if only the status %i says so, for a request that may run once',
		(status) => {
			expect(judge('backend', status, OWN)).toBe('unpromised');
			expect(judge('peer', status, OWN)).toBe('unpromised');
			expect(judge('peer', status, OWN, {isNotRun: true})).toBe('unpromised');
		},
	);

	it.each(PROMISES)(
		'is the one of the entry itself if it refuses with status %i',
		(status) => {
			expect(judge('peer', status, NONE)).toBe('answer');
		},
	);

	it.each(PROMISES)(
		'matters not with status %i if the request may run again',
		(status) => {
			const repeatable = {isRepeatable: true};
			expect(judge('backend', status, OWN, repeatable)).toBe('answer');
			expect(judge('peer', status, OWN, repeatable)).toBe('answer');
		},
	);

	it.each([200, 400, 404, 500, 502, 504])(
		'is none with status %i',
		(status) => {
			expect(judge('backend', status, OWN)).toBe('answer');
			expect(judge('peer', status, OWN)).toBe('answer');
		},
	);
});

// What is left of a head whose headers were cut off passes for a success.
describe('a signature', () => {
	it.each([200, 204, 206, 299])('is missed with status %i', (status) => {
		expect(judge('backend', status, OWN, {isSigned: false})).toBe('unsigned');
		expect(judge('peer', status, OWN, {isSigned: false})).toBe('unsigned');
		expect(judge('peer', status, NONE, {isSigned: false})).toBe('unsigned');
		expect(judge('command', status, NONE, {isSigned: false})).toBe('answer');
	});

	it.each([300, 304, 400, 404, 500])(
		'is not missed with status %i',
		(status) => {
			expect(judge('backend', status, OWN, {isSigned: false})).toBe('answer');
			expect(judge('peer', status, OWN, {isSigned: false})).toBe('answer');
		},
	);

	it('matters after whose answer it is, and whether it was run', () => {
		expect(judge('backend', 200, OTHER, {isSigned: false})).toBe('foreign');
		const notRun = {isSigned: false, isNotRun: true};
		expect(judge('backend', 503, OWN, notRun)).toBe('not-run');
	});
});
