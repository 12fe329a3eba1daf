import {describe, expect, it} from 'vitest';
import {
	classifyPart,
	decideStreamEnd,
	isStreamAnswer,
	NO_QUIET_ENDS,
	parseStreamPart,
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
// follows the last event.
describe('decideStreamEnd', () => {
	const quiet = {backend: 'a', hasNewEvent: false, lastEventId: '2'};

	it('is complete after a run with a new event', () => {
		const end = {...quiet, hasNewEvent: true};
		expect(decideStreamEnd(NO_QUIET_ENDS, end).kind).toBe('complete');
	});

	it('is complete when another backend server agrees', () => {
		const first = decideStreamEnd(NO_QUIET_ENDS, quiet);
		expect(first.kind).toBe('ask-another');
		const again = decideStreamEnd(first.quietEnds, quiet);
		expect(again.kind).toBe('ask-another');
		const other = decideStreamEnd(again.quietEnds, {...quiet, backend: 'b'});
		expect(other.kind).toBe('complete');
	});

	it('is not complete when the other one followed another event', () => {
		const {quietEnds} = decideStreamEnd(NO_QUIET_ENDS, quiet);
		const end = {...quiet, backend: 'b', lastEventId: '3'};
		expect(decideStreamEnd(quietEnds, end).kind).toBe('ask-another');
	});

	it('is never complete without any event', () => {
		const end = {...quiet, lastEventId: undefined};
		const {quietEnds} = decideStreamEnd(NO_QUIET_ENDS, end);
		const other = decideStreamEnd(quietEnds, {...end, backend: 'b'});
		expect(other.kind).toBe('ask-another');
	});
});
