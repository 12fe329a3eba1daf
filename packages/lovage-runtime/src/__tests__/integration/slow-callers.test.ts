// Guards against connections and responses that are kept for as long as a caller likes:
// it sends a body or a head without end, or doesn't take its response.
import {Buffer} from 'node:buffer';
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {
	createBodilessServer,
	createJsonServer,
	createPrometheusMetrics,
	DEFAULT_EXCHANGE_TIMES,
} from '../../index.js';
import {createTestBuffers} from './test-buffers.js';
import {createConnector} from './test-connections.js';

const TIMES = {
	headMs: 300,
	requestMs: 600,
	unreadMs: 300,
	minBytesPerMs: 12_000,
	checkMs: 50,
};
const LIMIT_MS = 3000;
const CHUNK = `400\r\n${'x'.repeat(0x4_00)}\r\n`;
const CHUNK_INTERVAL_MS = 10;
/** More than the buffers of a connection hold. */
const LARGE_BYTES = 12_000_000;
const noop = (): undefined => undefined;
const open = createConnector();

async function countConnections(server: Server): Promise<number> {
	return new Promise((resolve) => {
		server.getConnections((_error, count) => {
			resolve(count);
		});
	});
}

/** Length of what a socket has read; it may be nothing. */
function readLength(chunk: unknown): number {
	return Buffer.isBuffer(chunk) ? chunk.length : 0;
}

/** Sends the same bytes until the connection ends. */
async function sendWithoutEnd(socket: Socket, bytes: string): Promise<void> {
	while (!socket.closed) {
		socket.write(bytes);
		// eslint-disable-next-line no-await-in-loop -- paces the bytes
		await sleep(CHUNK_INTERVAL_MS);
	}
}

const startMetrics = (): Server =>
	createPrometheusMetrics().serve('127.0.0.1', 0);
const startReadiness = (times = DEFAULT_EXCHANGE_TIMES): Server =>
	createBodilessServer((_req, res) => {
		res.writeHead(200).end();
	}, times);

it.each([
	['metrics', startMetrics],
	['readiness', startReadiness],
] as const)(
	'a body without end does not keep a connection to %s',
	async (_listener, start) => {
		const server = start();
		const socket = await open(server);
		socket.resume();
		socket.write(
			'POST /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n',
		);
		void sendWithoutEnd(socket, CHUNK);
		await expect.poll(() => socket.closed, {timeout: LIMIT_MS}).toBe(true);
		expect(await countConnections(server)).toBe(0);
	},
);

it('answers a request without a body on a kept connection', async () => {
	const socket = await open(startReadiness(TIMES));
	let received = '';
	socket.on('data', (chunk) => {
		received += String(chunk);
	});
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	// Longer than the time for a head, or for taking a response.
	await sleep(2 * TIMES.headMs);
	socket.write('GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n');
	await expect
		.poll(() => received.match(/200 OK/g)?.length, {timeout: LIMIT_MS})
		.toBe(2);
	expect(socket.closed).toBe(false);
});

it('a head without end, or none, does not keep a connection', async () => {
	const server = startReadiness(TIMES);
	const [slow, silent] = [await open(server), await open(server)];
	slow.resume();
	silent.resume();
	slow.write('GET / HTTP/1.1\r\n');
	void sendWithoutEnd(slow, 'X-A: b\r\n');
	await expect
		.poll(() => [slow.closed, silent.closed], {timeout: LIMIT_MS})
		.toEqual([true, true]);
});

it('pipelined requests whose responses are not read do not keep a connection', async () => {
	const server = startReadiness(TIMES);
	const socket = await open(server);
	socket.pause();
	const requests = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(1000);
	while (socket.write(requests) || socket.writableLength < LARGE_BYTES) {
		// Fills the buffers of both sides.
	}

	await expect
		.poll(async () => countConnections(server), {timeout: 5 * LIMIT_MS})
		.toBe(0);
});

it('a large response that is not read keeps neither its connection nor its bytes', async () => {
	const buffers = createTestBuffers();
	const server = createJsonServer({
		handler: async () => ({status: 200, body: 'x'.repeat(LARGE_BYTES)}),
		onError: noop,
		buffers,
		source: 'callers',
		times: TIMES,
	});
	const socket = await open(server);
	socket.pause();
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	await expect
		.poll(() => buffers.readUsedBytes(), {timeout: LIMIT_MS})
		.toBeGreaterThan(0);
	await expect.poll(() => buffers.readUsedBytes(), {timeout: LIMIT_MS}).toBe(0);
	expect(await countConnections(server)).toBe(0);
});

it('a large response that is read slowly arrives whole', async () => {
	const server = createJsonServer({
		handler: async () => ({status: 200, body: 'x'.repeat(LARGE_BYTES)}),
		onError: noop,
		buffers: createTestBuffers(),
		source: 'callers',
		times: {...TIMES, minBytesPerMs: 600},
	});
	const socket = await open(server);
	let received = 0;
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	const startedAt = performance.now();
	while (received < LARGE_BYTES && !socket.closed) {
		// eslint-disable-next-line no-await-in-loop -- paces the reader
		await sleep(TIMES.unreadMs / 30);
		received += readLength(socket.read());
	}

	expect(received).toBeGreaterThanOrEqual(LARGE_BYTES);
	expect(performance.now() - startedAt).toBeGreaterThan(TIMES.unreadMs);
});

it('a response that is ready after its caller left keeps no bytes', async () => {
	const buffers = createTestBuffers();
	let answered = 0;
	const server = createJsonServer({
		async handler() {
			await sleep(10 * CHUNK_INTERVAL_MS);
			answered += 1;
			return {status: 200, body: 'x'.repeat(LARGE_BYTES / 10)};
		},
		onError: noop,
		buffers,
		source: 'callers',
	});
	const socket = await open(server);
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	await sleep(CHUNK_INTERVAL_MS);
	socket.destroy();
	await expect.poll(() => answered, {timeout: LIMIT_MS}).toBe(1);
	expect(buffers.readUsedBytes()).toBe(0);
});
