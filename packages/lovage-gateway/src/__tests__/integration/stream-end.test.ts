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

/** Answers that end properly without a new event. */
const QUIET_ANSWERS: ReadonlyArray<readonly [name: string, answer: Answer]> = [
	['nothing in chunks', createStream('')],
	['nothing with a length', createAnswer(STREAM, '')],
	['nothing until the connection ends', {bytes: OPEN_END, end: 'end'}],
	['comments only', createStream(': wait\n\n')],
	['events that the caller has', createStream(formatEvents(1, 2))],
];

/** Answers that break off without a new event. */
const BROKEN_ANSWERS: ReadonlyArray<readonly [name: string, answer: Answer]> = [
	['nothing until a reset', {bytes: OPEN_END, end: 'reset'}],
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

const SHORT_ANSWERS = [...QUIET_ANSWERS, ...BROKEN_ANSWERS];
const WHOLE = formatEvents(1, 2, 3, 4);

describe.each(['backend', 'peer'] as const)(
	'behind the first events, a %s',
	(via) => {
		it.each(BROKEN_ANSWERS)(
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

		// The next one is asked for the last event again.
		it.each(QUIET_ANSWERS)(
			'that answers with %s is left, and the stream goes on elsewhere',
			async (_, answer) => {
				const {port, seen} = await startFleet(
					cleanups,
					[createBroken(1, 2), answer, createStream(formatEvents(2, 3, 4))],
					via,
				);
				const response = await callWithoutComments(port, '/stream/1');
				expect(response).toMatchObject({body: WHOLE, isWhole: true});
				expect(seen).toEqual(['', '2', '1']);
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
// one has that fails without saying so; one that repeats the last event reads the stream.
describe.each(['backend', 'peer'] as const)(
	'a run without a new event, at a %s',
	(via) => {
		const QUIET = [
			['in chunks', createStream('')],
			['with the connection', {bytes: OPEN_END, end: 'end'} as const],
			['after events that the caller has', createStream(formatEvents(1, 2, 3))],
		] as const;

		it.each(QUIET)(
			'ends the stream once another one repeats the last event and ends: %s',
			async (_, answer) => {
				const {port, seen} = await startFleet(
					cleanups,
					[createBroken(1, 2, 3), answer, createStream(formatEvents(3))],
					via,
				);
				const response = await call(port, '/stream/1');
				expect(response).toMatchObject({
					body: formatEvents(1, 2, 3),
					isWhole: true,
				});
				expect(seen).toEqual(['', '3', '2']);
			},
		);

		it.each(
			QUIET.flatMap(([name, answer]) =>
				[
					['nothing', createStream('')] as const,
					['an earlier event', createStream(formatEvents(2))] as const,
					[
						'the last event and a reset',
						{...createBroken(3), end: 'reset'},
					] as const,
				].map(
					([otherName, other]) => [name, otherName, answer, other] as const,
				),
			),
		)(
			'does not end the stream when others bring nothing new: %s, %s',
			async (_name, _otherName, answer, other) => {
				const {port, seen} = await startFleet(
					cleanups,
					[createBroken(1, 2, 3), answer, other, other],
					via,
				);
				const response = await call(port, '/stream/1');
				expect(response).toMatchObject({
					body: formatEvents(1, 2, 3),
					isWhole: false,
				});
				expect(seen.slice(0, 3)).toEqual(['', '3', '2']);
			},
		);
	},
);

it('repeats the first event for a stream that broke off behind it', async () => {
	const answers = [createBroken(1), createStream(''), createStream(WHOLE)];
	const {port, seen} = await startFleet(cleanups, answers);
	const response = await call(port, '/stream/1');
	expect(response).toMatchObject({body: WHOLE, isWhole: true});
	expect(seen).toEqual(['', '1', '0']);
});

it('lets a caller that has all events know so', async () => {
	const answers = [createStream(''), createStream(formatEvents(3))];
	const {port, seen} = await startFleet(cleanups, answers);
	const response = await call(port, '/stream/1', {'Last-Event-Id': '3'});
	expect(response).toMatchObject({status: 200, body: '', isWhole: true});
	expect(seen).toEqual(['3', '2']);
});

it('does not let a caller take empty answers for the end', async () => {
	const answers = Array.from({length: 4}, () => createStream(''));
	const {port, seen} = await startFleet(cleanups, answers);
	const response = await call(port, '/stream/1', {'Last-Event-Id': '3'});
	expect(response).toMatchObject({status: 502});
	expect(seen).toEqual(['3', '2', '2', '2']);
});

it('asks for the last event again only behind the same one', async () => {
	const {port, seen} = await startFleet(cleanups, [
		createBroken(1),
		createStream(''),
		createBroken(1, 2),
		createStream(''),
	]);
	const response = await call(port, '/stream/1');
	expect(response).toMatchObject({body: formatEvents(1, 2), isWhole: false});
	expect(seen).toEqual(['', '1', '0', '2']);
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
