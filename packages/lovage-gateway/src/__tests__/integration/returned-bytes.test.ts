import {setTimeout as sleep} from 'node:timers/promises';
import type {BufferBudget} from '@lovagevalve/runtime';
import {describe, expect, it} from 'vitest';
import {
	CAPACITY_BYTES,
	MAX_BODY_BYTES,
	startBoundedGateway,
	type BoundedGateway,
} from './bounded-gateway.js';
import {call, createCleanups, sendRaw} from './harness.js';

const cleanups = createCleanups();
const BODY_BYTES = 1_000_000;

/** Starts a gateway before a backend server that answers after a while. */
const start = async (
	delayMs: number,
	answer = 'sound',
): Promise<BoundedGateway> =>
	startBoundedGateway(cleanups, async () => sleep(delayMs, answer));

function createHead(id: string, length: number): string {
	return `POST /once/${id} HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\nContent-Length: ${length}\r\n\r\n`;
}

/** Fills the part of the budget that a backend server may use. */
function fillBackendPart(buffers: BufferBudget): void {
	const account = buffers.open({source: 'backends', name: 'e-0'});
	for (let step = CAPACITY_BYTES; step >= 1; step /= 2) {
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
			const {socket} = sendRaw(
				cleanups,
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
		const {read} = sendRaw(
			cleanups,
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
