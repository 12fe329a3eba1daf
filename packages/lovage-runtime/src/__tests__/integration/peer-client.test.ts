import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, createServer} from 'node:http';
import {
	createServer as createTcpServer,
	Socket,
	type AddressInfo,
	type Server,
} from 'node:net';
import process from 'node:process';
import {afterEach, describe, expect, it} from 'vitest';
import {createJsonServer, createPeerClient} from '../../index.js';
import {createTestBuffers} from './test-buffers.js';

const client = createPeerClient(createTestBuffers());
const cleanups: Array<() => unknown> = [];

afterEach(() => {
	cleanups.splice(0).forEach((cleanup) => {
		cleanup();
	});
});

/** Starts a server on a free port and returns its address. */
async function listen(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Answers a request while its body is still being sent, and closes the connection. */
function answerEarly(socket: Socket, closeAfterMs: number): void {
	socket.on('error', () => undefined);
	socket.once('data', () => {
		socket.pause();
		socket.write('HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\n{}');
		setTimeout(() => {
			socket.destroy();
		}, closeAfterMs);
	});
}

describe('createPeerClient', () => {
	// An instance that refuses a large body answers before it has read all of it. The
	// error of the write that breaks off had no listener, which ended the process.
	it('lives on when an instance answers early and closes the connection', async () => {
		const uncaught: string[] = [];
		const record = (error: Error): void => {
			uncaught.push(error.message);
		};

		process.on('uncaughtException', record);
		cleanups.push(() => process.off('uncaughtException', record));
		let exchanges = 0;
		const server = createTcpServer((socket) => {
			exchanges += 1;
			answerEarly(socket, exchanges % 8);
		});
		const address = await listen(server);
		cleanups.push(() => server.close());
		const body = {text: 'x'.repeat(12_582_912)};
		const answers = await Promise.all(
			Array.from({length: 24}, async () =>
				client.call(address, '/raft', body, 2000),
			),
		);
		expect(answers.every((answer) => answer.isErr())).toBe(true);
		await new Promise((resolve) => {
			setTimeout(resolve, 100);
		});
		expect(uncaught).toEqual([]);
	});

	it('times out early when an instance does not accept the connection', async () => {
		// A powered-off instance answers no packet: the socket keeps connecting.
		class UnansweredAgent extends Agent {
			createConnection(): Socket {
				const socket = new Socket();
				Object.defineProperty(socket, 'connecting', {value: true});
				return socket;
			}
		}
		const cutOff = createPeerClient(createTestBuffers(), new UnansweredAgent());
		const answer = await cutOff.call('127.0.0.1:9', '/report', {}, 60_000);
		expect(answer._unsafeUnwrapErr()).toBe('connect timeout');
	});

	it('times out when an instance accepts the connection but does not respond', async () => {
		const server = createServer(() => undefined);
		const address = await listen(server);
		cleanups.push(() => {
			server.closeAllConnections();
			server.close();
		});
		const answer = await client.call(address, '/x', {}, 300);
		expect(answer._unsafeUnwrapErr()).toBe('timeout');
	});

	// Keep-alive probes of the operating system give up after many seconds, or as
	// TCP_USER_TIMEOUT decides where something has set it.
	it('gives up a kept connection that falls silent by its own time limit', async () => {
		const connections = new Map<Socket, number>();
		const server = createServer((req, res) => {
			req.resume();
			const count = (connections.get(req.socket) ?? 0) + 1;
			connections.set(req.socket, count);
			if (count === 1) {
				res.end('{}');
			}
		});
		const address = await listen(server);
		cleanups.push(() => {
			server.closeAllConnections();
			server.close();
		});
		const first = await client.call(address, '/x', {}, 300);
		const silent = await client.call(address, '/x', {}, 300);
		const third = await client.call(address, '/x', {}, 300);
		expect([first, silent, third].map((answer) => answer.isOk())).toEqual([
			true,
			false,
			true,
		]);
		expect(silent._unsafeUnwrapErr()).toBe('timeout');
		expect(connections.size).toBe(2);
	});

	// Hundreds of entries receive the loads of all backend servers from one instance.
	it('receives large bodies compressed, in less than half their size', async () => {
		const loads = Object.fromEntries(
			Array.from({length: 500}, (_, i) => [`backend-${i}`, [i % 12, i, 9 * i]]),
		);
		const plainBytes = JSON.stringify(loads).length;
		const server = createJsonServer({
			handler: async ({path}) => ({
				status: 200,
				body: path === '/loads' ? loads : {},
			}),
			onError: () => undefined,
			buffers: createTestBuffers(),
			source: 'instances',
		});
		const connected = once(server, 'connection') as Promise<[Socket]>;
		const address = await listen(server);
		const agent = new Agent({keepAlive: false});
		const answer = await createPeerClient(createTestBuffers(), agent).call(
			address,
			'/loads',
			{},
			3000,
		);
		expect(answer._unsafeUnwrap()).toEqual(loads);
		const [socket] = await connected;
		server.close();
		expect(socket.bytesWritten).toBeGreaterThan(0);
		expect(socket.bytesWritten).toBeLessThan(plainBytes / 2);
	});

	it('reports a damaged body', async () => {
		const server = createServer((_req, res) => {
			res.writeHead(200, {'Content-Encoding': 'deflate'});
			res.end('{"version":7}');
		});
		const address = await listen(server);
		cleanups.push(() => server.close());
		const answer = await client.call(address, '/x', {}, 300);
		expect(answer._unsafeUnwrapErr()).toContain('incorrect header check');
	});

	it('returns the response of an instance', async () => {
		const server = createServer((req, res) => {
			res.end('{"version":7}');
		});
		const address = await listen(server);
		cleanups.push(() => server.close());
		const answer = await client.call(address, '/x', {}, 300);
		expect(answer._unsafeUnwrap()).toEqual({version: 7});
	});

	// A bad port or host threw from the call, in callers that wait for nothing.
	it.each([
		'127.0.0.1:80800',
		'127.0.0.1:-1',
		'127.0.0.1:0',
		'127.0.0.1:1.5',
		'127.0.0.1',
		'a\u0000b:80',
		'a b:80',
		'',
		'constructor',
		undefined,
		7,
		null,
	])('reports that %j is no address', async (address) => {
		const answer = await client.call(address as string, '/report', {}, 1000);
		expect(answer._unsafeUnwrapErr()).toMatch(/the address is not/);
	});

	it('reports a body that is nested too deep to be written', async () => {
		const deep: unknown = JSON.parse('['.repeat(500_000) + ']'.repeat(500_000));
		const answer = await client.call('127.0.0.1:9', '/report', deep, 1000);
		expect(answer.isErr()).toBe(true);
	});

	it('reports a response that is too large', async () => {
		const block = Buffer.alloc(4_194_304, ' ');
		const server = createServer((_req, res) => {
			res.on('error', () => undefined);
			Array.from({length: 24}).forEach(() => res.write(block));
			res.end('{}');
		});
		cleanups.push(() => server.close());
		const answer = await client.call(await listen(server), '/', {}, 15_000);
		expect(answer._unsafeUnwrapErr()).toBe('the response is too large');
	});
});
