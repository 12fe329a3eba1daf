import {describe, expect, it} from 'vitest';
import {
	callAsHttp10,
	callWithoutComments,
	CHUNKED,
	createAnswer,
	createBroken,
	createStream,
	formatEvents,
	OPEN_END,
	removeComments,
	startFleet,
	STREAM,
	type Answer,
} from './faulty-answers.js';
import {call, createCleanups} from './harness.js';

// A run that follows another one ends properly and brings nothing: the stream ends as
// complete wherever it had broken off.

const cleanups = createCleanups();

/** Answers that end without a new event. */
const SHORT_ANSWERS: ReadonlyArray<readonly [name: string, answer: Answer]> = [
	['nothing in chunks', createStream('')],
	['nothing with a length', createAnswer(STREAM, '')],
	['nothing until the connection ends', {bytes: OPEN_END, end: 'end'}],
	['nothing until a reset', {bytes: OPEN_END, end: 'reset'}],
	['comments only', createStream(': wait\n\n')],
	['events that the caller has', createStream(formatEvents(1, 2))],
	[
		'half an event until the connection ends',
		{bytes: `${OPEN_END}id: 3\ndata: pie`, end: 'end'},
	],
	['half an event in chunks', createStream('id: 3\ndata: pie')],
	[
		'less than its length',
		{bytes: `${STREAM}Content-Length: 99\r\n\r\n`, end: 'end'},
	],
	['less than its chunk', {bytes: `${CHUNKED}ff\r\nid: 3\n`, end: 'end'}],
];

const WHOLE = formatEvents(1, 2, 3, 4);

describe.each(['backend', 'peer'] as const)(
	'behind the first events, a %s',
	(via) => {
		it.each(SHORT_ANSWERS)(
			'that answers with %s is left, and the stream goes on elsewhere',
			async (_, answer) => {
				const {port, seen} = await startFleet(
					cleanups,
					[createBroken(1, 2), answer, createStream(formatEvents(3, 4))],
					via,
				);
				const response = await callWithoutComments(port, '/stream/1');
				expect(response).toMatchObject({body: WHOLE, isWhole: true});
				expect(seen).toEqual(['', '2', '2']);
			},
		);

		it.each(SHORT_ANSWERS)(
			'that answers with %s does not make a broken stream look whole',
			async (_, answer) => {
				const answers = [createBroken(1, 2), answer];
				const {port} = await startFleet(cleanups, answers, via);
				const response = await callWithoutComments(port, '/stream/1');
				expect(response).toMatchObject({
					body: formatEvents(1, 2),
					isWhole: false,
				});
			},
		);
	},
);

it.each(SHORT_ANSWERS)(
	'the connection of an HTTP/1.0 caller is reset behind the first events: %s',
	async (_, answer) => {
		const answers = [createBroken(1, 2), answer];
		const {port} = await startFleet(cleanups, answers);
		const {body, isReset} = await callAsHttp10(port, '/stream/1');
		expect(removeComments(body)).toBe(formatEvents(1, 2));
		expect(isReset).toBe(true);
	},
);

describe('as the first answer', () => {
	it.each(SHORT_ANSWERS.filter(([name]) => !name.startsWith('events')))(
		'%s is left, and the stream begins elsewhere',
		async (_, answer) => {
			const {port} = await startFleet(cleanups, [answer, createStream(WHOLE)]);
			const response = await callWithoutComments(port, '/stream/1');
			expect(response).toMatchObject({
				status: 200,
				body: WHOLE,
				isWhole: true,
			});
		},
	);

	it.each(SHORT_ANSWERS.filter(([name]) => !name.startsWith('events')))(
		'%s is no success where it may run once',
		async (_, answer) => {
			const {port} = await startFleet(cleanups, [answer, createStream(WHOLE)]);
			const response = await callWithoutComments(port, '/stream-once/1');
			const {status, body, isWhole} = response;
			expect(status === 200 && (isWhole || body.includes('piece'))).toBe(false);
		},
	);
});

// A run may break off behind the last event. The next one has nothing to add then, as
// one has that fails without saying so.
describe.each(['backend', 'peer'] as const)(
	'a run without a new event, at a %s',
	(via) => {
		it.each([
			['in chunks', createStream('')],
			['with the connection', {bytes: OPEN_END, end: 'end'} as const],
			['after events that the caller has', createStream(formatEvents(1, 2, 3))],
		])('ends the stream once another one agrees: %s', async (_, answer) => {
			const {port, seen} = await startFleet(
				cleanups,
				[createBroken(1, 2, 3), answer, createStream('')],
				via,
			);
			const response = await call(port, '/stream/1');
			expect(response).toMatchObject({
				body: formatEvents(1, 2, 3),
				isWhole: true,
			});
			expect(seen).toEqual(['', '3', '3']);
		});
	},
);

it('lets a caller that has all events know so', async () => {
	const answers = [createStream(''), createStream('')];
	const {port, seen} = await startFleet(cleanups, answers);
	const response = await call(port, '/stream/1', {'Last-Event-Id': '3'});
	expect(response).toMatchObject({status: 200, body: '', isWhole: true});
	expect(seen).toEqual(['3', '3']);
});

it('counts an end only beside one behind the same last event', async () => {
	const {port, seen} = await startFleet(cleanups, [
		createBroken(1),
		createStream(''),
		createBroken(2),
		createStream(''),
	]);
	const response = await call(port, '/stream/1');
	expect(response).toMatchObject({body: formatEvents(1, 2), isWhole: false});
	expect(seen).toEqual(['', '1', '1', '2']);
});

it('is no success if no event was ever sent', async () => {
	const answers = [createStream(''), createStream('')];
	const {port} = await startFleet(cleanups, answers);
	expect(await call(port, '/stream/1')).toMatchObject({status: 502});
});

it('ends the stream behind one more event and a proper end of the connection', async () => {
	const {port} = await startFleet(cleanups, [
		createBroken(1, 2),
		{bytes: OPEN_END + formatEvents(3), end: 'end'},
	]);
	const response = await call(port, '/stream/1');
	expect(response).toMatchObject({
		body: formatEvents(1, 2, 3),
		isWhole: true,
	});
});
