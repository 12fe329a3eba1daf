import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	formatEvent,
	startBackend,
} from './harness.js';
import {startEntry} from './started-entry.js';

const ADDRESS_LIFETIME_MS = 300;
const STREAM_DURATION_MS = 800;
/** More than the socket buffers of both sides hold. */
const LARGE_BODY_BYTES = 12_000_000;
const cleanups = createCleanups();

async function startDraining(): Promise<{
	port: number;
	isDrained: () => boolean;
	drained: Promise<void>;
	/** For each response that closed: whether the entry had drained before. */
	closedResponses: readonly boolean[];
}> {
	const backend = await startBackend((req, res) => {
		res.writeHead(200, {'Request-Id': req.headers['request-id']});
		if (req.url?.startsWith('/plain')) {
			res.end('x'.repeat(LARGE_BODY_BYTES));
			return;
		}

		res.write(formatEvent(1));
		setTimeout(() => {
			res.end(formatEvent(2));
		}, STREAM_DURATION_MS);
	});
	const {entry, port} = await startEntry(backend, cleanups, {
		configuration,
		gracePeriodMs: 5000,
		addressLifetimeMs: ADDRESS_LIFETIME_MS,
	});
	let isDrained = false;
	const closedResponses: boolean[] = [];
	entry.gateway.server.on('request', (_req, res) => {
		res.on('close', () => {
			closedResponses.push(isDrained);
		});
	});
	const drain = async (): Promise<void> => {
		await entry.drain();
		isDrained = true;
	};

	return {
		port,
		isDrained: () => isDrained,
		drained: drain(),
		closedResponses,
	};
}

describe('a draining entry', () => {
	// Callers that still use the address of an idle, draining entry send requests to it.
	it('finishes a request that arrives after an idle period', async () => {
		const {port, drained, closedResponses} = await startDraining();
		await sleep(ADDRESS_LIFETIME_MS / 3);
		const response = await call(port, '/stream/1', {'wait-ms': '3000'});
		expect(response).toMatchObject({
			body: formatEvent(1) + formatEvent(2),
			isWhole: true,
		});
		await drained;
		expect(closedResponses).toEqual([false]);
	});

	// The process ends once it has drained, which cuts what it has accepted.
	it('finishes a request on a connection that it accepted just before it closed', async () => {
		const {port, isDrained, drained} = await startDraining();
		const socket = connect(port, '127.0.0.1');
		cleanups.push(() => socket.destroy());
		let received = '';
		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			received += chunk;
		});
		await sleep(ADDRESS_LIFETIME_MS + 150);
		expect(isDrained()).toBe(false);
		socket.write(
			'POST /stream/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n',
		);
		await Promise.all([drained, once(socket, 'end')]);
		expect(received).toContain(formatEvent(2));
		expect(received.endsWith('0\r\n\r\n')).toBe(true);
	});

	it('delivers an answer to a slow caller before it ends', async () => {
		const {port, isDrained, drained} = await startDraining();
		const socket = connect(port, '127.0.0.1');
		cleanups.push(() => socket.destroy());
		socket.write(
			'POST /plain/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n',
		);
		socket.pause();
		await sleep(ADDRESS_LIFETIME_MS + 1300);
		expect(isDrained()).toBe(false);
		let size = 0;
		socket.on('data', (chunk) => {
			size += chunk.length;
		});
		socket.resume();
		await Promise.all([drained, once(socket, 'end')]);
		expect(size).toBeGreaterThan(LARGE_BODY_BYTES);
	});

	it('does not wait for a connection that sends nothing', async () => {
		const {port, drained} = await startDraining();
		const socket = connect(port, '127.0.0.1');
		cleanups.push(() => socket.destroy());
		const startedAt = performance.now();
		await drained;
		expect(performance.now() - startedAt).toBeLessThan(2500);
	});
});
