import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {BufferBudget} from '@lovagevalve/runtime';
import {describe, expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	createTestBuffers,
	type Harness,
	startBackend,
	startHarness,
} from './harness.js';

const cleanups = createCleanups();
const CAPACITY = 8_388_608;
const BODY_BYTES = 1_000_000;
const MAX_BODY_BYTES = 4_194_304;

type Started = Readonly<{harness: Harness; buffers: BufferBudget}>;

/** Starts a gateway before a backend server that answers after a while. */
async function start(delayMs: number, answer = 'sound'): Promise<Started> {
	const backend = await startBackend(async (req, res) => {
		req.resume();
		await sleep(delayMs);
		res.writeHead(200, {'Request-Id': String(req.headers['request-id'])});
		res.end(answer);
	});
	const buffers = createTestBuffers(CAPACITY);
	const limits = {...configuration.limits, maxBodyBytes: MAX_BODY_BYTES};
	const harness = await startHarness(
		{...configuration, limits},
		undefined,
		[],
		{buffers},
	);
	harness.setBackends([backend.port]);
	cleanups.push(harness.close, () => backend.server.close());
	return {harness, buffers};
}

/** Sends raw bytes on a new connection; returns what was answered so far. */
function send(
	port: number,
	text: string,
): Readonly<{socket: Socket; read: () => string}> {
	const socket = connect(port, '127.0.0.1');
	let answer = '';
	socket.setEncoding('latin1');
	socket.on('error', () => undefined);
	socket.on('data', (chunk: string) => {
		answer += chunk;
	});
	socket.write(text);
	cleanups.push(() => socket.destroy());
	return {socket, read: () => answer};
}

function createHead(id: string, length: number): string {
	return `POST /once/${id} HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\nContent-Length: ${length}\r\n\r\n`;
}

/** Fills the part of the budget that a backend server may use. */
function fillBackendPart(buffers: BufferBudget): void {
	const account = buffers.open({source: 'backends', name: 'e-0'});
	for (let step = CAPACITY; step >= 1; step /= 2) {
		let bytes = 0;
		const filler = buffers.open({source: 'backends', name: 'e-0'});
		while (filler.resize(bytes + step)) {
			bytes += step;
		}
	}

	expect(account.canHold(1)).toBe(false);
}

describe('bytes that are buffered', () => {
	it('are given back when a caller leaves with requests that wait behind another one', async () => {
		const {harness, buffers} = await start(200);
		for (let i = 0; i < 4; i += 1) {
			const {socket} = send(
				harness.port,
				`${createHead('a', 2)}{}${createHead('b', BODY_BYTES)}${'y'.repeat(BODY_BYTES)}`,
			);
			// eslint-disable-next-line no-await-in-loop -- one caller after the other
			await sleep(100);
			expect(buffers.readUsedBytes()).toBeGreaterThan(0);
			socket.destroy();
		}

		await expect.poll(() => buffers.readUsedBytes(), {timeout: 3000}).toBe(0);
	});

	it('do not cost the answer of a request on whose connection a body is refused', async () => {
		const {harness} = await start(1500);
		const {read} = send(
			harness.port,
			`${createHead('a', 2)}{}${createHead('b', 2 * MAX_BODY_BYTES)}yyy`,
		);
		await expect.poll(read, {timeout: 3000}).toMatch(/^HTTP\/1.1 200/);
	});

	it.each([5, 2000, 200_000])(
		'do not cost a caller a sound answer of %i bytes when there is no room for it',
		async (length) => {
			const {harness, buffers} = await start(0, 'x'.repeat(length));
			fillBackendPart(buffers);
			const answer = await call(harness.port, '/once/1');
			expect(answer.status).toBe(200);
			expect(answer.isWhole).toBe(true);
			expect(answer.body.length).toBe(length);
		},
	);
});
