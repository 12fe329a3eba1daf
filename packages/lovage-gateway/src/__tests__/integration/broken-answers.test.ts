import {describe, expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	exchangeRaw,
	formatEvent,
	startHarness,
	startRawBackend,
	type Harness,
} from './harness.js';

const cleanups = createCleanups();

async function start(...ports: readonly number[]): Promise<Harness> {
	const harness = await startHarness(configuration);
	harness.setBackends(ports);
	cleanups.push(harness.close);
	return harness;
}

async function startRaw(
	...[onRequest]: Parameters<typeof startRawBackend>
): Promise<number> {
	const backend = await startRawBackend(onRequest);
	cleanups.push(() => backend.server.close());
	return backend.port;
}

function readRequestId(text: string): string {
	return /request-id: (.*)\r\n/i.exec(text)?.[1] ?? '';
}

function formatAnswer(id: string): string {
	const body = `answer to ${id}`;
	return `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

describe('a backend server that sends an answer twice', () => {
	it.each([0, 30])(
		'does not reach the next caller with the copy, %i ms later',
		async (delayMs) => {
			const port = await startRaw((socket, text) => {
				const answer = formatAnswer(readRequestId(text));
				socket.write(answer);
				setTimeout(() => socket.write(answer), delayMs);
			});
			const harness = await start(port);
			for (const id of ['a', 'b', 'c', 'd']) {
				// eslint-disable-next-line no-await-in-loop -- the copy arrives during the next call
				const response = await call(harness.port, '/plain/1', {
					'Request-Id': id,
				});
				expect(response.body).toBe(`answer to ${id}`);
			}
		},
	);

	it('does not reach the next request on the same connection of a caller', async () => {
		const port = await startRaw((socket, text) => {
			const answer = formatAnswer(readRequestId(text));
			socket.write(answer + answer);
		});
		const harness = await start(port);
		const format = (id: string, connection: string): string =>
			`POST /plain/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\nConnection: ${connection}\r\nContent-Length: 0\r\n\r\n`;
		const {text} = await exchangeRaw(
			harness.port,
			format('a', 'keep-alive') + format('b', 'close'),
		);
		expect(text.match(/answer to \w/g)).toEqual(['answer to a', 'answer to b']);
	});
});

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

function formatChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

describe('an answer that breaks off', () => {
	it.each([
		['with a length', `${HEAD}Content-Length: 99\r\n\r\nhalf`, 'end'],
		['with a length', `${HEAD}Content-Length: 99\r\n\r\nhalf`, 'reset'],
		['in chunks', CHUNKED + formatChunk('half'), 'end'],
		['in chunks', CHUNKED + formatChunk('half'), 'reset'],
		['within a chunk', `${CHUNKED}ff\r\nhalf`, 'end'],
		['within the head', 'HTTP/1.1 200 OK\r\nReque', 'end'],
		['without a length', `${HEAD}\r\nhalf`, 'reset'],
	])('is no success: %s, %j, %s', async (_, bytes, end) => {
		const port = await startRaw((socket) => {
			socket.write(bytes);
			setTimeout(() => {
				if (end === 'end') {
					socket.end();
				} else {
					socket.resetAndDestroy();
				}
			}, 20);
		});
		const harness = await start(port);
		const response = await call(harness.port, '/once/1');
		expect(response.status).toBe(502);
	});

	// An HTTP/1.0 response ends with its connection, so an orderly end would make
	// the part that was delivered look complete.
	it.each([
		['a stream', '/stream-once/1', CHUNKED + formatChunk(formatEvent(1))],
		[
			'a large response',
			'/once/1',
			`${HEAD}Content-Length: 3000000\r\n\r\n${'x'.repeat(2_000_000)}`,
		],
	])(
		'resets the connection of an HTTP/1.0 caller: %s',
		async (_, path, bytes) => {
			const port = await startRaw((socket) => {
				socket.write(bytes);
				setTimeout(() => socket.destroy(), 100);
			});
			const harness = await start(port);
			const answer = await exchangeRaw(
				harness.port,
				`POST ${path} HTTP/1.0\r\nHost: test\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n`,
			);
			expect(answer.text).toContain('200 OK');
			expect(answer.isReset).toBe(true);
		},
	);
});
