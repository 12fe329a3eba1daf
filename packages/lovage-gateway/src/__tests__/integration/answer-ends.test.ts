import {describe, expect, it} from 'vitest';
import {
	callAsHttp10,
	createAnswer,
	createStream,
	formatChunk,
	formatEvents,
	OK,
	startFleet,
	type Answer,
} from './faulty-answers.js';
import {call, createCleanups} from './harness.js';

// Bytes behind a whole answer lose it, and an answer that breaks off looks whole or
// hangs.

const cleanups = createCleanups();

const SMALL = 'answer';
/** Answers up to this size are passed on when they are whole. */
const BUFFERED_BYTES = 262_144;
/** The caller's own limit. */
const WAIT_MS = 2000;
const LARGE = 'x'.repeat(2_000_000);
const GARBAGE = '<p>Internal error</p>';
const SECOND_ANSWER = 'HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno';

function addBehind({bytes, end}: Answer, behind: string): Answer {
	return {bytes: bytes + behind, end};
}

describe.each(['backend', 'peer'] as const)('from a %s', (via) => {
	it.each([
		['small', SMALL, 'text', GARBAGE],
		['small', SMALL, 'an answer', SECOND_ANSWER],
		['large', LARGE, 'text', GARBAGE],
		['large', LARGE, 'an answer', SECOND_ANSWER],
	])(
		'the bytes behind an answer are dropped: %s, %#',
		async (_name, body, _kind, behind) => {
			const answer = addBehind(createAnswer(OK, body), behind);
			const {port, seen} = await startFleet(cleanups, [answer], via);
			const response = await call(port, '/once/1');
			expect(response.status).toBe(200);
			expect(response.isWhole).toBe(true);
			expect(response.body === body).toBe(true);
			expect(seen).toHaveLength(1);
		},
	);

	it.each([
		['text', GARBAGE],
		['an answer', SECOND_ANSWER],
	])('the bytes behind a stream are dropped: %s', async (_, behind) => {
		const answer = addBehind(createStream(formatEvents(1, 2)), behind);
		const {port, seen} = await startFleet(cleanups, [answer], via);
		const response = await call(port, '/stream/1');
		expect(response).toMatchObject({body: formatEvents(1, 2), isWhole: true});
		expect(seen).toHaveLength(1);
	});

	it.each([
		['with a length', `${OK}Content-Length: 3000000\r\n\r\n`, 'end'],
		['with a length', `${OK}Content-Length: 3000000\r\n\r\n`, 'reset'],
		['without a length', `${OK}\r\n`, 'reset'],
		['in a chunk', `${OK}Transfer-Encoding: chunked\r\n\r\n2dc6c0\r\n`, 'end'],
	] as const)(
		'a large answer that ends early does not look whole: %s, %s',
		async (_, head, end) => {
			const answer = {bytes: head + LARGE, end};
			const {port} = await startFleet(cleanups, [answer], via);
			const response = await call(port, '/once/1');
			expect(response.isWhole && response.status === 200).toBe(false);
			const {isReset} = await callAsHttp10(port, '/once/1');
			expect(isReset).toBe(true);
		},
	);

	it('a large answer without a length that ends properly is whole', async () => {
		const answer = {bytes: `${OK}\r\n${LARGE}`, end: 'end'} as const;
		const {port} = await startFleet(cleanups, [answer], via);
		const response = await call(port, '/once/1');
		expect(response.isWhole && response.body === LARGE).toBe(true);
	});

	it('a large answer that turns malformed breaks off at once', async () => {
		const chunk = 'x'.repeat(BUFFERED_BYTES + 100);
		const head = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
		const bytes = `${head + formatChunk(chunk)}no chunk\r\n`;
		const {port} = await startFleet(cleanups, [{bytes, end: 'end'}], via);
		const startedAt = performance.now();
		const {status, isWhole} = await call(port, '/once/1');
		expect(status === 200 && isWhole).toBe(false);
		expect(performance.now() - startedAt).toBeLessThan(WAIT_MS / 2);
	});
});
