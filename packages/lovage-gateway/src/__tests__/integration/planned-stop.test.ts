import {once} from 'node:events';
import {Agent, request} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Configuration} from '@lovagevalve/routing';
import {describe, expect, it} from 'vitest';
import type {Entry} from '../../entry.js';
import {
	configuration,
	createCleanups,
	exchangeRaw,
	formatEvent,
	startBackend,
} from './harness.js';
import {startEntry} from './started-entry.js';

const GRACE_PERIOD_MS = 3000;
const ADDRESS_LIFETIME_MS = 1000;
const EVENT_INTERVAL_MS = 100;
/** Longer than the time that is left once callers no longer get the address. */
const LONG_STREAM_EVENTS = 21;
const SHORT_STREAM_EVENTS = 4;
/** Answers that are held in memory and together fill the socket buffers of both sides. */
/** Time that the callers of plain requests allow. */
const CALL_DEADLINE_MS = 1500;
/** Calls are sent each 100 ms, so this one would be cut at the end of the grace. */
const FIRST_LONG_CALL = 16;
const LARGE_ANSWERS = 60;
const LARGE_BODY_BYTES = 250_000;
const cleanups = createCleanups();

const longRoutes: Configuration = {
	...configuration,
	routes: configuration.routes.map((route) => ({...route, timeoutMs: 15_000})),
};

/** What the caller got of one request. */
type Outcome = Readonly<{
	id: string;
	status: number;
	retryAfter: string | undefined;
	isWhole: boolean;
}>;

/** Sends a request for a stream; resolves when the answer ends or breaks off. */
async function send(
	port: number,
	id: string,
	agent: Agent,
	path = '/stream',
): Promise<Outcome> {
	return new Promise((resolve) => {
		const req = request({
			host: '127.0.0.1',
			port,
			path: `${path}/${id}`,
			method: 'POST',
			agent,
			headers: {
				Host: 'test',
				'Request-Id': id,
				'wait-ms': path === '/stream' ? '15000' : String(CALL_DEADLINE_MS),
			},
		});
		req.on('error', () => {
			resolve({id, status: 0, retryAfter: undefined, isWhole: false});
		});
		req.on('response', (res) => {
			const end = (): void => {
				resolve({
					id,
					status: res.statusCode ?? 0,
					retryAfter: res.headers['retry-after'],
					isWhole: res.complete,
				});
			};

			res.on('end', end);
			res.on('error', end);
			res.resume();
		});
		req.end();
	});
}

/** Starts an entry before an engine whose streams have as many events as their ids say. */
async function startSystem(
	gracePeriodMs = GRACE_PERIOD_MS,
	addressLifetimeMs = ADDRESS_LIFETIME_MS,
): Promise<{
	entry: Entry;
	port: number;
	ran: ReadonlySet<string>;
	/** Drains the entry and ends what is open, as the end of its process does. */
	stop: () => Promise<void>;
}> {
	const ran = new Set<string>();
	const backend = await startBackend((req, res) => {
		const id = String(req.headers['request-id']);
		const eventCount = id.startsWith('short')
			? SHORT_STREAM_EVENTS
			: id === 'endless'
				? Infinity
				: LONG_STREAM_EVENTS;
		ran.add(id);
		if (id.startsWith('call')) {
			const tookMs = Number(id.split('-').at(-1));
			setTimeout(() => {
				res.writeHead(200, {'Request-Id': id}).end('done');
			}, tookMs);
			return;
		}

		res.writeHead(200, {'Request-Id': id});
		if (id.startsWith('large')) {
			res.end('x'.repeat(LARGE_BODY_BYTES));
			return;
		}

		let sent = 0;
		const timer = setInterval(() => {
			sent += 1;
			res.write(formatEvent(sent));
			if (sent === eventCount) {
				clearInterval(timer);
				res.end();
			}
		}, EVENT_INTERVAL_MS);
		res.once('close', () => {
			clearInterval(timer);
		});
	});
	const {entry, port} = await startEntry(backend, cleanups, {
		configuration: longRoutes,
		gracePeriodMs,
		addressLifetimeMs,
	});
	return {
		entry,
		port,
		ran,
		async stop() {
			await entry.drain();
			entry.gateway.server.closeAllConnections();
		},
	};
}

function createAgent(): Agent {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	cleanups.push(() => {
		agent.destroy();
	});
	return agent;
}

describe('an entry that is stopped', () => {
	// The end of its process cut streams that it had accepted with too little time left.
	it('runs no stream that the end of its process cuts', async () => {
		const {port, ran, stop} = await startSystem();
		const stopped = stop();
		const outcomes = await Promise.all(
			Array.from({length: 25}, async (_, i) => {
				await sleep(i * 100);
				return send(port, `long-${i}`, createAgent());
			}),
		);
		await stopped;
		const cut = outcomes.filter(({id, isWhole}) => ran.has(id) && !isWhole);
		expect(cut).toEqual([]);
	});

	// Most calls of the route are short, so the long ones that came late were taken.
	it('cuts no long call among short ones, and says so of what it does not run', async () => {
		const {port, ran, stop} = await startSystem();
		const agents = Array.from({length: 22}, createAgent);
		await Promise.all(
			agents.map(async (agent, i) =>
				send(port, `call-before-${i}-20`, agent, '/once'),
			),
		);
		// It keeps the entry from ending early.
		const last = send(port, 'long-last', createAgent());
		await sleep(50);
		const stopped = stop();
		const outcomes = await Promise.all(
			agents.map(async (agent, i) => {
				await sleep(i * 100);
				const tookMs = i < FIRST_LONG_CALL ? 20 : 1200;
				return send(port, `call-${i}-${tookMs}`, agent, '/once');
			}),
		);
		await stopped;
		expect(await last).toMatchObject({isWhole: true});
		const taken = outcomes.filter(({id}) => ran.has(id));
		expect(taken.length).toBeGreaterThan(0);
		expect(taken.filter(({isWhole}) => !isWhole)).toEqual([]);
		const refused = outcomes.filter(
			({id, status}) => !ran.has(id) && status !== 0,
		);
		expect(refused.map(({status}) => status)).toEqual(refused.map(() => 503));
	});

	// A response whose head said keep-alive before the stop leaves its connection open.
	it('refuses a stream on a connection that became free late', async () => {
		const {port, ran, stop} = await startSystem();
		const agent = createAgent();
		const first = send(port, 'long-first', agent);
		await sleep(150);
		// It keeps the entry from ending when the first one is complete.
		const other = send(port, 'long-other', createAgent());
		await sleep(50);
		const stopped = stop();
		expect(await first).toMatchObject({status: 200, isWhole: true});
		const second = await send(port, 'long-second', agent);
		await stopped;
		expect(await other).toMatchObject({isWhole: true});
		expect([...ran]).toEqual(['long-first', 'long-other']);
		expect(second).toMatchObject({status: 503, isWhole: true});
		expect(Number(second.retryAfter)).toBeLessThan(1);
	});

	// A second request right behind a stream was run, and cut with the connection.
	it('answers a request that follows another one on its connection', async () => {
		const {port, ran, stop} = await startSystem();
		const stopped = stop();
		const socket = connect(port, '127.0.0.1');
		cleanups.push(() => socket.destroy());
		const ids = ['short-1', 'short-2'];
		socket.write(
			ids
				.map(
					(id) =>
						`POST /stream/${id} HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\nwait-ms: 1500\r\nContent-Length: 0\r\n\r\n`,
				)
				.join(''),
		);
		let received = '';
		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			received += chunk;
		});
		await Promise.all([stopped, once(socket, 'close')]);
		expect([...ran]).toEqual(ids);
		expect(received.match(/0\r\n\r\n/g)).toHaveLength(2);
	});

	// The stop took back that a connection stays open for the request that waits.
	it('answers requests that were on their connection before the stop', async () => {
		const {port, ran, stop} = await startSystem();
		const socket = connect(port, '127.0.0.1');
		cleanups.push(() => socket.destroy());
		let received = '';
		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			received += chunk;
		});
		const ids = ['short-1', 'short-2', 'short-3'];
		socket.write(
			ids
				.map(
					(id) =>
						`POST /stream/${id} HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\nwait-ms: 1500\r\nContent-Length: 0\r\n\r\n`,
				)
				.join(''),
		);
		await sleep(50);
		await Promise.all([stop(), once(socket, 'close')]);
		expect([...ran].toSorted()).toEqual(ids);
		expect(received.match(/0\r\n\r\n/g)).toHaveLength(3);
	});

	// Responses that wait behind another one report no end when their caller leaves.
	it('forgets the requests of a caller that left', async () => {
		const {entry, port} = await startSystem();
		const socket = connect(port, '127.0.0.1');
		cleanups.push(() => socket.destroy());
		socket.write(
			'POST /stream/long HTTP/1.1\r\nHost: test\r\nRequest-Id: long\r\nContent-Length: 0\r\n\r\n'.repeat(
				3,
			),
		);
		await sleep(200);
		expect(entry.gateway.open.list()).toHaveLength(3);
		socket.destroy();
		await sleep(200);
		expect(entry.gateway.open.list()).toEqual([]);
	});

	// Node.js takes a connection for idle before a slow caller has its whole answer.
	it('delivers complete answers to a slow caller when it stops listening', async () => {
		const {port, ran, stop} = await startSystem();
		const socket = connect(port, '127.0.0.1');
		cleanups.push(() => socket.destroy());
		socket.pause();
		socket.write(
			Array.from(
				{length: LARGE_ANSWERS},
				(_, i) =>
					`POST /plain/${i} HTTP/1.1\r\nHost: test\r\nRequest-Id: large-${i}\r\nwait-ms: 2500\r\nContent-Length: 0\r\n\r\n`,
			).join(''),
		);
		await sleep(500);
		const stopped = stop();
		await sleep(ADDRESS_LIFETIME_MS + 100);
		let received = '';
		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			received += chunk;
		});
		socket.resume();
		await Promise.all([stopped, once(socket, 'close')]);
		const bodies = received.match(/x+/g) ?? [];
		expect(ran.size).toBeGreaterThan(10);
		expect(
			bodies.filter((text) => text.length === LARGE_BODY_BYTES),
		).toHaveLength(ran.size);
	});

	// The end of the process closes connections in order, which ends an answer that
	// has neither length nor chunks.
	it('lets no caller take a stream that it cuts for complete', async () => {
		const {port, stop} = await startSystem();
		const received = exchangeRaw(
			port,
			'POST /stream/endless HTTP/1.0\r\nHost: test\r\nRequest-Id: endless\r\nwait-ms: 15000\r\nContent-Length: 0\r\n\r\n',
		);
		await sleep(100);
		await stop();
		expect(await received).toMatchObject({isReset: true});
	});

	it('ends within a grace period that is shorter than the life of its address', async () => {
		const {entry} = await startSystem(500, 3000);
		const startedAt = performance.now();
		await entry.drain();
		expect(performance.now() - startedAt).toBeLessThan(500);
	});

	// Callers keep the address for a while and need not go elsewhere for a short answer.
	it('serves streams that are over in time', async () => {
		const {port, stop} = await startSystem();
		const before = await Promise.all(
			Array.from({length: 20}, async (_, i) =>
				send(port, `short-before-${i}`, createAgent()),
			),
		);
		const stopped = stop();
		const after = await Promise.all(
			Array.from({length: 9}, async (_, i) => {
				await sleep(i * 100);
				return send(port, `short-after-${i}`, createAgent());
			}),
		);
		await stopped;
		expect([...before, ...after].filter(({isWhole}) => !isWhole)).toEqual([]);
		expect(after.map(({status}) => status)).toEqual(after.map(() => 200));
	});
});
