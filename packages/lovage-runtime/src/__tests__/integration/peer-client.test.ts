import {Agent, createServer} from 'node:http';
import {Socket, type AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {createPeerClient} from '../../index.js';

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
