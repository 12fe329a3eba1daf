// Guards against sound backend servers and instances that are taken for dead, and
// sound requests for killers, by an instance that is short of processor time: its
// timers run before it sees what arrived.
import {createServer} from 'node:net';
import {createPeerClient} from '@lovagevalve/runtime';
import {expect, it} from 'vitest';
import {openExchange} from '../../backend-exchange.js';
import {probeAddress} from '../../backend-probe.js';
import {
	createCleanups,
	listen,
	startBackend,
	createTestBuffers,
} from './harness.js';

const cleanups = createCleanups();
/** Longer than connections to backend servers and instances may take. */
const BUSY_MS = 600;

function block(): void {
	const until = performance.now() + BUSY_MS;
	while (performance.now() < until) {
		// Holds the event loop.
	}
}

async function startSoundServer(): Promise<string> {
	const {server, port} = await startBackend((_, res) => {
		res.writeHead(200, {'Content-Type': 'application/json'}).end('{}');
	});
	cleanups.push(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${port}`;
}

it('a probe succeeds at a server that accepted while this process was busy', async () => {
	const server = createServer();
	const port = await listen(server);
	cleanups.push(() => server.close());
	const probe = probeAddress(`127.0.0.1:${port}`);
	block();
	expect(await probe).toBe(true);
});

it('a probe still fails at a port that nothing listens on', async () => {
	const server = createServer();
	const port = await listen(server);
	server.close();
	expect(await probeAddress(`127.0.0.1:${port}`)).toBe(false);
});

it('a request is sent over a connection that opened while this process was busy', async () => {
	const address = await startSoundServer();
	const outcome = new Promise((resolve) => {
		openExchange(
			{
				address,
				method: 'GET',
				path: '/',
				headers: ['Host', 'test'],
				body: undefined,
			},
			{
				onResponse({statusCode}) {
					resolve(statusCode);
				},
				onFailure: resolve,
			},
		);
	});
	block();
	expect(await outcome).toBe(200);
});

it('a call to another instance succeeds that connects while this process is busy', async () => {
	const address = await startSoundServer();
	const client = createPeerClient(createTestBuffers());
	cleanups.push(client.close);
	const call = client.call(address, '/report', {}, 5000);
	setImmediate(block);
	const result = await call;
	expect(result.isOk()).toBe(true);
});
