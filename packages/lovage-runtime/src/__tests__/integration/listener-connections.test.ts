// Guards against connections with a request under way that are closed for others, and
// against closing those first that have been idle for the shortest time.
import {createServer, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {promisify} from 'node:util';
import {expect, it} from 'vitest';
import {
	computeDescriptorLimit,
	createListenerConnections,
	createPrometheusMetrics,
	type ListenerName,
} from '../../index.js';
import {createConnector} from './test-connections.js';

const MAX_DESCRIPTORS = 128;
/** Longer than the server needs to see a connection, or its end. */
const SETTLE_MS = 50;
const noop = (): undefined => undefined;
const connect = createConnector();

function start(listener: ListenerName, headersTimeout = 60_000) {
	const held: ServerResponse[] = [];
	let handled = 0;
	const server = createServer((req, res) => {
		handled += 1;
		if (req.url === '/held') {
			held.push(res);
		} else {
			res.end('served');
		}
	});
	server.headersTimeout = headersTimeout;
	const connections = createListenerConnections({
		clock: {now: () => performance.now()},
		log: {debug: noop, info: noop, warn: noop, error: noop},
		metrics: createPrometheusMetrics(),
		maxDescriptors: MAX_DESCRIPTORS,
	});
	connections.attach(server, listener);
	return {
		held,
		countHandled: () => handled,
		countConnections: async () =>
			promisify(server.getConnections.bind(server))(),
		async open(): Promise<Socket> {
			const socket = await connect(server);
			return socket.resume();
		},
	};
}

async function send(socket: Socket, path: string): Promise<void> {
	socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
	await sleep(SETTLE_MS);
}

/** Opens connections one after the other. */
async function openAll(
	count: number,
	open: () => Promise<Socket>,
): Promise<readonly Socket[]> {
	const opened: Socket[] = [];
	while (opened.length < count) {
		// eslint-disable-next-line no-await-in-loop -- their order counts
		opened.push(await open());
	}

	await sleep(SETTLE_MS);
	return opened;
}

const readClosed = (all: readonly Socket[]): readonly boolean[] =>
	all.map(({closed}) => closed);

it('closes the connection that has been idle longest, and none with a request under way', async () => {
	const limit = computeDescriptorLimit('metrics', MAX_DESCRIPTORS);
	const {open, held} = start('metrics');
	const [busy, first, second, ...others] = await openAll(limit, open);
	await send(busy!, '/held');
	await send(first!, '/');
	await open();
	await sleep(SETTLE_MS);
	expect(readClosed([busy!, first!, second!, ...others])).toEqual([
		false,
		false,
		true,
		...others.map(() => false),
	]);
	// Its response has ended, so that it is idle now, but not for long.
	held[0]!.end();
	await sleep(SETTLE_MS);
	await openAll(others.length, open);
	expect(readClosed([busy!, first!, ...others])).toEqual([
		false,
		false,
		...others.map(() => true),
	]);
});

it('closes a new connection at once while all others have requests under way', async () => {
	const limit = computeDescriptorLimit('metrics', MAX_DESCRIPTORS);
	const {open, held} = start('metrics');
	const busy = await openAll(limit, open);
	await Promise.all(busy.map(async (socket) => send(socket, '/held')));
	const [late] = await openAll(1, open);
	expect(late!.closed).toBe(true);
	expect(readClosed(busy)).toEqual(busy.map(() => false));
	held[0]!.end();
	await sleep(SETTLE_MS);
	const [later] = await openAll(1, open);
	expect(readClosed([busy[0]!, later!])).toEqual([true, false]);
});

it('closes idle connections of callers as requests need descriptors for backend servers', async () => {
	const limit = computeDescriptorLimit('callers', MAX_DESCRIPTORS);
	const {open} = start('callers');
	const all = await openAll(limit, open);
	expect(readClosed(all)).toEqual(all.map(() => false));
	await send(all.at(-1)!, '/held');
	await send(all.at(-2)!, '/held');
	expect(readClosed(all)).toEqual(all.map((_, i) => i < 2));
});

it('serves a connection that sends some requests ahead', async () => {
	const {open} = start('callers');
	const [socket] = await openAll(1, open);
	let text = '';
	socket!.on('data', (chunk) => {
		text += String(chunk);
	});
	await send(socket!, '/ HTTP/1.1\r\nHost: a\r\n\r\nGET /'.repeat(31));
	expect(text.match(/served/g)).toHaveLength(32);
	expect(socket!.closed).toBe(false);
});

// Node.js parses all that has arrived, and held thousands of requests of each connection.
it('closes a connection that sends too many requests ahead, and parses no more of them', async () => {
	const {open, countHandled} = start('callers');
	const [flooding, other] = await openAll(2, open);
	await send(
		flooding!,
		'/held HTTP/1.1\r\nHost: a\r\n\r\nGET /held'.repeat(999),
	);
	expect(flooding!.closed).toBe(true);
	expect(countHandled()).toBeLessThan(100);
	let text = '';
	other!.on('data', (chunk) => {
		text += String(chunk);
	});
	await send(other!, '/');
	expect(text).toContain('served');
});

it('bounds the requests that all connections send ahead, not those that they wait for', async () => {
	const {open, countHandled, countConnections} = start('callers');
	const waiting = await openAll(30, open);
	await Promise.all(
		waiting.map(async (socket) =>
			send(socket, '/held HTTP/1.1\r\nHost: a\r\n\r\nGET /held'.repeat(49)),
		),
	);
	await expect.poll(() => waiting.some(({closed}) => closed)).toBe(true);
	expect(countHandled()).toBeLessThan(1200);
	const [ordinary] = await openAll(1, open);
	await send(ordinary!, '/held');
	expect(ordinary!.closed).toBe(false);
	// What was sent ahead counts until its connection is closed, and no longer.
	waiting.forEach((socket) => {
		socket.destroy();
	});
	await expect.poll(countConnections).toBe(1);
	const [later] = await openAll(1, open);
	await send(later!, '/held HTTP/1.1\r\nHost: a\r\n\r\nGET /held'.repeat(49));
	expect(later!.closed).toBe(false);
});

it('closes a connection on which blank lines come without end, and no idle one', async () => {
	const {open} = start('callers', 600);
	const [blank, silent, kept] = await openAll(3, open);
	await send(blank!, '/');
	await send(kept!, '/');
	const timer = setInterval(() => {
		blank!.write('\r\n');
	}, SETTLE_MS);
	await expect.poll(() => blank!.closed, {timeout: 5000}).toBe(true);
	clearInterval(timer);
	expect(readClosed([silent!, kept!])).toEqual([false, false]);
	await send(silent!, '/');
	await send(kept!, '/');
	expect(readClosed([silent!, kept!])).toEqual([false, false]);
});
