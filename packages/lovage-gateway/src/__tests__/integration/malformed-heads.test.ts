import {describe, expect, it} from 'vitest';
import {
	createAnswer,
	createBroken,
	createHead,
	createStream,
	formatChunk,
	formatEvents,
	startFleet,
	STREAM,
} from './faulty-answers.js';
import {call, createCleanups} from './harness.js';

// Node.js reads the head of an answer that it refuses to write: the exception ends the
// entry with all its streams.

const cleanups = createCleanups();

describe.each(['/once/1', '/plain/1', '/stream/1', '/stream-once/1'])(
	'at %s',
	(path) => {
		it.each([
			['a status that is none', createHead(50).replace('50', '050')],
			['a header whose name is none', `${STREAM}No name: x\r\n`],
		])('%s is a failure', async (_, head) => {
			const answer = createAnswer(head, formatEvents(2));
			const {port} = await startFleet(cleanups, [answer]);
			expect(await call(port, path)).toMatchObject({status: 502});
		});
	},
);

// A transfer coding concerns one connection and is not passed on: the caller gets the
// coded bytes as the body.
describe.each(['/once/1', '/stream-once/1'])('at %s', (path) => {
	it.each(['chunk', 'gzip', 'gzip, chunked', 'chunked, chunk'])(
		'a body in the transfer coding %s is a failure',
		async (coding) => {
			const head = `${STREAM}Transfer-Encoding: ${coding}\r\n\r\n`;
			const bytes = `${head}${formatChunk(formatEvents(1))}0\r\n\r\n`;
			const {port} = await startFleet(cleanups, [{bytes, end: 'end'}]);
			expect(await call(port, path)).toMatchObject({status: 502});
		},
	);
});

// A lenient parser takes them for headers, or for the end of the head.
describe.each(['/once/1', '/stream-once/1'])('at %s', (path) => {
	const body = formatEvents(1);
	it.each([
		['lines that end with LF', `${STREAM}\r\n`.replaceAll('\r\n', '\n')],
		['one line that ends with LF', `${STREAM}A: b\nC: d\r\n\r\n`],
		['a blank line of LF behind LF', `${STREAM}A: b\n\n`],
		['a line that ends with CR', `${STREAM}A: b\rC: d\r\n\r\n`],
		['a header without a colon', `${STREAM}Content-Len\r\n\r\n`],
		['a folded length', `${STREAM}Content-Length: 2\r\n 2\r\n\r\n`],
		['an empty length', `${STREAM}Content-Length:\r\n\r\n`],
		['two lengths', `${STREAM}Content-Length: 22\r\nContent-Length: 2\r\n\r\n`],
		[
			'a length and chunks',
			`${STREAM}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n`,
		],
		['no status line', 'Internal error\r\n\r\n'],
		[
			'another protocol',
			`${STREAM.replace('200', '101')}Connection: upgrade\r\nUpgrade: a\r\n\r\n`,
		],
	])('%s is a failure', async (_, head) => {
		const {port} = await startFleet(cleanups, [
			{bytes: head + body, end: 'end'},
		]);
		expect(await call(port, path)).toMatchObject({status: 502});
	});
});

describe('behind the first events', () => {
	it.each([
		['a status that is none', createHead(50).replace('50', '050')],
		['a header whose name is none', `${STREAM}No name: x\r\n`],
	])('%s is left, and the stream goes on elsewhere', async (_, head) => {
		const {port} = await startFleet(cleanups, [
			createBroken(1),
			createAnswer(head, formatEvents(2)),
			createStream(formatEvents(2)),
		]);
		const response = await call(port, '/stream/1');
		expect(response).toMatchObject({body: formatEvents(1, 2), isWhole: true});
	});
});
