// Where streams began must outlive an entry that control instances don't hear.
import {createServer, request, type RequestListener} from 'node:http';
import {createPeerClient} from '@lovagevalve/runtime';
import {expect, it, vi} from 'vitest';
import {createTaskGuard} from '../../guard.js';
import {
	isOriginsMessage,
	receiveOrigins,
	startPeerOrigins,
} from '../../peer-origins.js';
import {createStreamOrigins} from '../../stream-origins.js';
import {
	createCleanups,
	listen,
	silentLogger,
	silentMetrics,
	createTestBuffers,
} from './harness.js';

const cleanups = createCleanups();
const clock = {now: () => performance.now(), wall: () => Date.now()};
const origin = {service: 'model', softwareVersion: 'v1'};
const beginning = {incarnation: 'e-1/5000', at: 1_000_000};

async function startServer(listener: RequestListener): Promise<string> {
	const server = createServer(listener);
	cleanups.push(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${await listen(server)}`;
}

async function startReceiver() {
	const origins = createStreamOrigins(clock);
	const address = await startServer((req, res) => {
		if (isOriginsMessage(req)) {
			void receiveOrigins(
				{
					buffers: createTestBuffers(),
					clock,
					metrics: silentMetrics,
					origins,
				},
				req,
				res,
			);
		} else {
			res.writeHead(404).end();
		}
	});
	return {origins, address};
}

/** Starts an entry that has begun a stream; `confirmed` is what control instances have. */
function startTeller(others: readonly string[], confirmed: number): void {
	const origins = createStreamOrigins(clock);
	origins.record('key', origin, 30_000, beginning);
	const client = createPeerClient(createTestBuffers());
	const {stop} = startPeerOrigins(
		{
			clock,
			log: silentLogger,
			random: () => 0,
			origins,
			controlClient: {readConfirmedOrigin: () => confirmed},
			peers: {listOthers: () => others},
			guard: createTaskGuard({log: silentLogger, metrics: silentMetrics}),
		},
		client,
	);
	cleanups.push(stop, client.close);
}

it('tells another entry what no control instance has confirmed', async () => {
	const {origins, address} = await startReceiver();
	startTeller([address], 0);
	await vi.waitFor(() => {
		expect(origins.find('key')).toMatchObject({
			origin,
			beginning: {incarnation: beginning.incarnation},
		});
	}, 3000);
});

it('tells a second one beside an entry that does not know the message', async () => {
	const old = await startServer((_, res) => {
		res.writeHead(404).end();
	});
	const {origins, address} = await startReceiver();
	startTeller([old, address], 0);
	await vi.waitFor(() => {
		expect(origins.find('key')).toMatchObject({origin});
	}, 3000);
});

it('tells nothing that a control instance has confirmed', async () => {
	let messages = 0;
	const address = await startServer((_, res) => {
		messages += 1;
		res.end('{}');
	});
	startTeller([address], 1);
	await new Promise((resolve) => {
		setTimeout(resolve, 1000);
	});
	expect(messages).toBe(0);
});

it.each([
	['is not valid', '127.0.0.1:80', '{"origins":[["key"]]}', 400],
	['names a host of callers', 'example.com', '{"origins":[]}', 404],
])('does not take a message that %s', async (_, host, body, status) => {
	const {origins, address} = await startReceiver();
	const answer = await new Promise<number>((resolve, reject) => {
		const [ip, port] = address.split(':');
		const req = request({
			host: ip,
			port: Number(port),
			method: 'POST',
			path: '/lovage/stream-origins',
			headers: {Host: host, 'Content-Length': body.length},
		});
		req.on('response', (res) => {
			res.resume();
			resolve(res.statusCode ?? 0);
		});
		req.on('error', reject);
		req.end(body);
	});
	expect(answer).toBe(status);
	expect(origins.find('key')).toBeUndefined();
});
