import {once} from 'node:events';
import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {startRelay, type Relay} from '../../relay.js';

async function open(port: number): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	await once(socket, 'connect');
	return socket;
}

async function exchange(socket: Socket, text: string): Promise<string> {
	const answer = once(socket, 'data');
	socket.write(text);
	const [chunk] = (await answer) as [Uint8Array];
	return new TextDecoder().decode(chunk);
}

describe('startRelay', () => {
	const received: string[] = [];
	let server: Server;
	let relay: Relay;

	beforeEach(async () => {
		received.length = 0;
		server = createServer((socket) => {
			socket.on('data', (chunk) => {
				received.push(chunk.toString());
				socket.write(chunk);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		relay = await startRelay((server.address() as AddressInfo).port);
	});

	afterEach(async () => {
		await relay.close();
		server.close();
	});

	it('blackholes open connections without affecting new ones', async () => {
		const old = await open(relay.port);
		expect(await exchange(old, 'a')).toBe('a');
		relay.blackholeOpen('both');
		let hasAnswer = false;
		old.on('data', () => {
			hasAnswer = true;
		});
		old.write('lost');
		const fresh = await open(relay.port);
		expect(await exchange(fresh, 'b')).toBe('b');
		expect(received).toEqual(['a', 'b']);
		expect(hasAnswer).toBe(false);
		expect(old.destroyed).toBe(false);
	});

	it('can drop one direction only', async () => {
		const socket = await open(relay.port);
		expect(await exchange(socket, 'a')).toBe('a');
		relay.blackholeOpen('to-client');
		socket.write('b');
		await vi.waitFor(() => {
			expect(received).toEqual(['a', 'b']);
		});
		expect(relay.countBytes()).toEqual({toTarget: 2, toClient: 1});
	});
});
