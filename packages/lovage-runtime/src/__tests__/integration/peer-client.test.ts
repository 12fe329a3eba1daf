import {Agent, createServer} from 'node:http';
import {Socket, type AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {createJsonServer, createPeerClient} from '../../index.js';

const client = createPeerClient();
const cleanups: Array<() => unknown> = [];

afterEach(() => {
	cleanups.splice(0).forEach((cleanup) => {
		cleanup();
	});
});

describe('createPeerClient', () => {
	it('times out early when an instance does not accept the connection', async () => {
		// A powered-off instance answers no packet: the socket keeps connecting.
		class UnansweredAgent extends Agent {
			createConnection(): Socket {
				const socket = new Socket();
				Object.defineProperty(socket, 'connecting', {value: true});
				return socket;
			}
		}
		const cutOff = createPeerClient(new UnansweredAgent());
		const answer = await cutOff.call('127.0.0.1:9', '/report', {}, 60_000);
		expect(answer._unsafeUnwrapErr()).toBe('connect timeout');
	});

	it('times out when an instance accepts the connection but does not respond', async () => {
		const server = createServer(() => undefined);
		const port = await new Promise<number>((resolve) => {
			server.listen(0, '127.0.0.1', () => {
				resolve((server.address() as AddressInfo).port);
			});
		});
		cleanups.push(() => {
			server.closeAllConnections();
			server.close();
		});
		const answer = await client.call(`127.0.0.1:${port}`, '/x', {}, 300);
		expect(answer._unsafeUnwrapErr()).toBe('timeout');
	});

	// Hundreds of entries receive the loads of all backend servers from one instance.
	it('receives large bodies compressed, in less than half their size', async () => {
		const loads = Object.fromEntries(
			Array.from({length: 500}, (_, i) => [`backend-${i}`, [i % 12, i, 9 * i]]),
		);
		const plainBytes = JSON.stringify(loads).length;
		const server = createJsonServer(
			async ({path}) => ({status: 200, body: path === '/loads' ? loads : {}}),
			() => undefined,
		);
		let sentBytes = 0;
		server.on('connection', (socket) => {
			socket.on('close', () => {
				sentBytes = socket.bytesWritten;
			});
		});
		const port = await new Promise<number>((resolve) => {
			server.listen(0, '127.0.0.1', () => {
				resolve((server.address() as AddressInfo).port);
			});
		});
		const address = `127.0.0.1:${port}`;
		const agent = new Agent({keepAlive: false});
		const answer = await createPeerClient(agent).call(
			address,
			'/loads',
			{},
			3000,
		);
		expect(answer._unsafeUnwrap()).toEqual(loads);
		await new Promise((resolve) => {
			server.close(resolve);
		});
		expect(sentBytes).toBeLessThan(plainBytes / 2);
	});

	it('reports a damaged body', async () => {
		const server = createServer((_req, res) => {
			res.writeHead(200, {'Content-Encoding': 'deflate'});
			res.end('{"version":7}');
		});
		const port = await new Promise<number>((resolve) => {
			server.listen(0, '127.0.0.1', () => {
				resolve((server.address() as AddressInfo).port);
			});
		});
		cleanups.push(() => server.close());
		const answer = await client.call(`127.0.0.1:${port}`, '/x', {}, 300);
		expect(answer._unsafeUnwrapErr()).toContain('incorrect header check');
	});

	it('returns the response of an instance', async () => {
		const server = createServer((req, res) => {
			res.end('{"version":7}');
		});
		const port = await new Promise<number>((resolve) => {
			server.listen(0, '127.0.0.1', () => {
				resolve((server.address() as AddressInfo).port);
			});
		});
		cleanups.push(() => server.close());
		const answer = await client.call(`127.0.0.1:${port}`, '/x', {}, 300);
		expect(answer._unsafeUnwrap()).toEqual({version: 7});
	});
});
