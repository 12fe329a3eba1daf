import process from 'node:process';
import type {Socket} from 'node:net';
import {describe, expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	startHarness,
	startRawBackend,
	type Harness,
} from './harness.js';

const cleanups = createCleanups();
const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n';
const FAILURE_HEAD = 'HTTP/1.1 500 Failed\r\nRequest-Id: r-1\r\n';
const BLOCK = 'x'.repeat(65_536);
const WRITE_INTERVAL_MS = 1;
/** The caller's own limit; every answer must have ended by then. */
const WAIT_MS = 2000;
/** Much less than what the backend server writes in that time. */
const MAX_READ_BYTES = 8_000_000;

type Endless = Readonly<{harness: Harness; countBytes: () => number}>;

/** Starts a gateway before a backend server that writes a head and then blocks without end. */
async function startEndless(head: string, block: string): Promise<Endless> {
	const sockets: Socket[] = [];
	const backend = await startRawBackend((socket) => {
		sockets.push(socket);
		socket.write(head);
		const timer = setInterval(() => {
			if (socket.writableLength < BLOCK.length) {
				socket.write(block);
			}
		}, WRITE_INTERVAL_MS);
		socket.on('close', () => {
			clearInterval(timer);
		});
	});
	const harness = await startHarness(configuration);
	harness.setBackends([backend.port]);
	cleanups.push(harness.close, () => backend.server.close());
	return {
		harness,
		countBytes: () =>
			sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0),
	};
}

describe('a backend server that writes without end', () => {
	it.each([
		['a status line', 'HTTP/1.1 200 ', BLOCK, '/once/1'],
		['a header', `${HEAD}Long: `, BLOCK, '/once/1'],
		['headers', HEAD, `Name: ${'x'.repeat(100)}\r\n`.repeat(50), '/once/1'],
		['bytes that are no answer', BLOCK, BLOCK, '/stream-once/1'],
		['an event', `${HEAD}\r\ndata: `, BLOCK, '/stream-once/1'],
		['the body of a failure', `${FAILURE_HEAD}\r\n`, BLOCK, '/stream-once/1'],
	])(
		'is left soon, and the caller gets 502: %s',
		async (_, head, block, path) => {
			const {harness, countBytes} = await startEndless(head, block);
			const startedAt = performance.now();
			const answer = await call(harness.port, path);
			expect(answer.status).toBe(502);
			expect(performance.now() - startedAt).toBeLessThan(WAIT_MS);
			expect(countBytes()).toBeLessThan(MAX_READ_BYTES);
		},
	);

	it.each([
		['without a length', `${HEAD}\r\n`],
		['with a length', `${HEAD}Content-Length: 99999999999\r\n\r\n`],
	])('is left at the deadline of the request: a body %s', async (_, head) => {
		const {harness, countBytes} = await startEndless(head, BLOCK);
		const startedAt = performance.now();
		const answer = await call(harness.port, '/once/1', {'Wait-Ms': '700'});
		expect(answer.isWhole).toBe(false);
		expect(performance.now() - startedAt).toBeLessThan(1500);
		const written = countBytes();
		await new Promise((resolve) => {
			setTimeout(resolve, 100);
		});
		expect(countBytes()).toBe(written);
	});

	it('keeps the memory of many answers bounded', async () => {
		const {harness} = await startEndless(`${HEAD}\r\ndata: `, BLOCK);
		const before = process.memoryUsage().rss;
		const answers = await Promise.all(
			Array.from({length: 100}, async () =>
				call(harness.port, '/stream-once/1'),
			),
		);
		expect(
			answers.every(({isWhole, status}) => !isWhole || status === 502),
		).toBe(true);
		// The smallest instance has 178 MB; the backend server's side is in this process too.
		expect(process.memoryUsage().rss - before).toBeLessThan(178_000_000);
	});
});
