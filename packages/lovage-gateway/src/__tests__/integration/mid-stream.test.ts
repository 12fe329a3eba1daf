import {describe, expect, it} from 'vitest';
import {
	callAsHttp10,
	callWithoutComments,
	createAnswer,
	createBroken,
	createHead,
	createStream,
	formatEvents,
	OK,
	removeComments,
	startFleet,
	type Answer,
} from './faulty-answers.js';
import {call, createCleanups, formatEvent} from './harness.js';

// A stream broke off, and the next server answers with an error: the caller reads the
// error's text between two events, or takes the stream for whole.

const cleanups = createCleanups();

const ERROR_PAGE = '<p>Internal error</p>\n\n<p>Try again later</p>\n\n';
const ERROR_JSON = '{"title":"internal error","status":500}\n\n';
const SECOND_HEAD =
	'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nno room\n\n';

/** Answers that bring no event of the stream behind the first two. */
const FOREIGN_ANSWERS: ReadonlyArray<readonly [name: string, answer: Answer]> =
	[
		['status 500', createAnswer(createHead(500), formatEvents(3))],
		['status 404', createAnswer(createHead(404), ERROR_JSON)],
		['status 204', {bytes: `${createHead(204)}\r\n`, end: 'end'}],
		[
			'an error page under status 200',
			createAnswer(`${OK}Content-Type: text/html\r\n`, ERROR_PAGE),
		],
		['an error page without a type', createAnswer(OK, ERROR_PAGE)],
		[
			'events of another type',
			createAnswer(`${OK}Content-Type: application/json\r\n`, formatEvents(3)),
		],
		['an error as a stream', createStream(ERROR_JSON)],
		['an event without an id', createStream('data: internal error\n\n')],
		[
			'an event without an id behind a comment',
			createStream(': wait\n\nevent: error\ndata: internal error\n\n'),
		],
		['an id that is no number', createStream('id: x\ndata: piece x\n\n')],
		['an id without data', createStream('id: 9\n\n')],
		['a second head', createStream(SECOND_HEAD)],
		['a second head and an event', createStream(SECOND_HEAD + formatEvents(3))],
		[
			'a second head in an event',
			createStream(`id: 3\ndata: pie${SECOND_HEAD}`),
		],
		['an event begun twice', createStream(`id: 3\n${formatEvents(3)}`)],
	];

const WHOLE = formatEvents(1, 2, 3, 4);

describe.each(['backend', 'peer'] as const)(
	'behind the first events, a %s',
	(via) => {
		it.each(FOREIGN_ANSWERS)(
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

		it.each(FOREIGN_ANSWERS)(
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

it.each(FOREIGN_ANSWERS)(
	'the connection of an HTTP/1.0 caller is reset behind the first events: %s',
	async (_, answer) => {
		const answers = [createBroken(1, 2), answer];
		const {port} = await startFleet(cleanups, answers);
		const {body, isReset} = await callAsHttp10(port, '/stream/1');
		expect(removeComments(body)).toBe(formatEvents(1, 2));
		expect(isReset).toBe(true);
	},
);

it('keeps the events before foreign bytes, and drops those behind', async () => {
	const {port, seen} = await startFleet(cleanups, [
		createBroken(1),
		createStream(formatEvents(2) + SECOND_HEAD + formatEvents(3)),
		createStream(formatEvents(3, 4)),
	]);
	const response = await call(port, '/stream/1');
	expect(response).toMatchObject({body: WHOLE, isWhole: true});
	expect(seen).toEqual(['', '1', '2']);
});

describe('as the first answer', () => {
	// These are forwarded: the caller can tell them from a stream.
	const answers = FOREIGN_ANSWERS.filter(
		([name]) => name !== 'status 404' && name !== 'status 204',
	);

	it.each(answers)(
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

	it.each(answers)(
		'%s is no success where it may run once',
		async (_, answer) => {
			const {port} = await startFleet(cleanups, [answer, createStream(WHOLE)]);
			const response = await callWithoutComments(port, '/stream-once/1');
			const {status, body, isWhole} = response;
			expect(status === 200 && (isWhole || body.includes('piece'))).toBe(false);
		},
	);
});

it('passes on events with a first line that names their version', async () => {
	const body = `x-weight-versions: 2\n${formatEvent(1)}: wait\n\n${formatEvent(2)}`;
	const {port} = await startFleet(cleanups, [createStream(body)]);
	expect(await call(port, '/stream/1')).toMatchObject({body, isWhole: true});
});
