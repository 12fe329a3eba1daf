import {describe, expect, it} from 'vitest';
import {
	addRepeated,
	chooseResumeId,
	classifyPart,
	decideStreamEnd,
	isStreamAnswer,
	parseStreamPart,
	type RepeatedEvents,
} from '../../stream-answer.js';

// An error's text is taken for events when any answer with status 200 passes for a
// stream, whatever it says of itself.
describe('isStreamAnswer', () => {
	it.each([
		[200, 'text/event-stream', true],
		[200, 'Text/Event-Stream; charset=utf-8', true],
		// Backend servers and entries of older builds may name no type.
		[200, undefined, true],
		[200, 'text/html', false],
		[200, 'application/json', false],
		[200, '', false],
		[204, 'text/event-stream', false],
		[206, 'text/event-stream', false],
		[500, 'text/event-stream', false],
	])('status %i and type %j: %s', (status, contentType, expected) => {
		expect(isStreamAnswer({status, contentType})).toBe(expected);
	});
});

// What is split at blank lines is delivered as an event, whether or not it is one.
describe('classifyPart', () => {
	it.each([
		['the next event', 'id: 3\ndata: c\n\n', 'next'],
		['a later event', 'id: 7\ndata: c\n\n', 'next'],
		['an event with CRLF', 'id: 3\r\ndata: c\r\n\r\n', 'next'],
		['an event of two lines', 'id:3\nevent: piece\ndata: c\ndata\n\n', 'next'],
		['an event with a comment', ': wait\nid: 3\ndata: c\n\n', 'next'],
		[
			'an event with a version',
			'x-weight-versions: 2\nid: 3\ndata: c\n\n',
			'next',
		],
		['an event that quotes a head', 'id: 3\ndata: HTTP/1.1 500\n\n', 'next'],
		['the last event again', 'id: 2\ndata: b\n\n', 'known'],
		['an earlier event', 'id: 1\ndata: a\n\n', 'known'],
		['a comment', ': wait\n\n', 'comment'],
		['a blank line', '\n\n', 'comment'],
		['a field without data', 'retry: 100\n\n', 'comment'],
		['no id', 'data: c\n\n', 'foreign'],
		['no number as id', 'id: c\ndata: c\n\n', 'foreign'],
		['no data', 'id: 3\n\n', 'foreign'],
		['an id of 20 digits', `id: ${'9'.repeat(20)}\ndata: c\n\n`, 'next'],
		['an id of 21 digits', `id: ${'9'.repeat(21)}\ndata: c\n\n`, 'foreign'],
		['a padded id', `id: ${'3'.padStart(21, '0')}\ndata: c\n\n`, 'foreign'],
		['two ids', 'id: 3\nid: 3\ndata: c\n\n', 'foreign'],
		['text', 'Internal error\n\n', 'foreign'],
		['JSON', '{"title":"Internal error"}\n\n', 'foreign'],
		['a name and a value', 'error: full\n\n', 'foreign'],
		['a head', 'HTTP/1.1 500 No\r\nA: b\r\n\r\n', 'foreign'],
		[
			'a head before an event',
			'HTTP/1.1 500 No\r\na: b\r\nid: 3\ndata: c\n\n',
			'foreign',
		],
		[
			'a head within an event',
			'id: 3\ndata: cHTTP/1.1 500 No\r\na: b\r\n\r\n',
			'foreign',
		],
		['text behind an event', 'id: 3\ndata: c\nInternal error\n\n', 'foreign'],
	])('%s: %j is %s', (_, text, expected) => {
		expect(classifyPart(parseStreamPart(text), '2')).toBe(expected);
	});

	it('takes any number for the next id where none is known', () => {
		const part = parseStreamPart('id: 0\ndata: a\n\n');
		expect(classifyPart(part, undefined)).toBe('next');
		expect(classifyPart(part, 'of another system')).toBe('next');
	});
});

// A run that fails without saying so ends properly and brings nothing, as one does that
// follows the last event. Several may fail in the same way.
describe('decideStreamEnd', () => {
	const quiet = {
		hasNewEvent: false,
		lastEventId: '3',
		resumeId: '3',
		ids: [] as string[],
	};
	const askedAgain = {...quiet, resumeId: '2'};

	it.each([
		['a new event', {...quiet, hasNewEvent: true}, 'complete'],
		['nothing', quiet, 'ask-another'],
		['the last event unasked', {...quiet, ids: ['3']}, 'ask-another'],
		['nothing, asked again', askedAgain, 'ask-another'],
		['the last event', {...askedAgain, ids: ['3']}, 'complete'],
		['the same twice', {...askedAgain, ids: ['3', '03']}, 'complete'],
		['an earlier event', {...askedAgain, ids: ['2']}, 'ask-another'],
		['both', {...askedAgain, ids: ['2', '3']}, 'ask-another'],
		['both, the last first', {...askedAgain, ids: ['3', '2']}, 'ask-another'],
		[
			'the last, others between',
			{...askedAgain, ids: ['3', '2', '3']},
			'ask-another',
		],
		[
			'the only event',
			{...quiet, lastEventId: '0', resumeId: undefined, ids: ['0']},
			'complete',
		],
		[
			'no event ever',
			{...quiet, lastEventId: undefined, resumeId: undefined},
			'ask-another',
		],
	])('after a run that brought %s', (_, {ids, ...end}, expected) => {
		const repeated = ids.reduce<RepeatedEvents>(
			(known, id) => addRepeated(known, id, end.lastEventId),
			'none',
		);
		expect(decideStreamEnd({...end, repeated})).toBe(expected);
	});
});

describe('chooseResumeId', () => {
	it.each([
		['3', false, '3'],
		[undefined, false, undefined],
		['3', true, '2'],
		['10', true, '9'],
		['1', true, '0'],
		['9007199254740993', true, '9007199254740992'],
		['0', true, undefined],
		[undefined, true, undefined],
		// No number: the event before it is unknown.
		['of another system', true, 'of another system'],
		['1'.padEnd(20, '0'), true, '9'.repeat(19)],
		['1'.padEnd(21, '0'), true, '1'.padEnd(21, '0')],
	])('behind %s, after a quiet end: %s, is %s', (last, isQuiet, expected) => {
		expect(chooseResumeId(last, isQuiet)).toBe(expected);
	});

	it('makes the last event one that is asked for and known', () => {
		const part = parseStreamPart('id: 3\ndata: c\n\n');
		expect(classifyPart(part, chooseResumeId('3', true))).toBe('next');
		expect(classifyPart(part, '3')).toBe('known');
	});
});
