import {once} from 'node:events';
import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {exchangeCall} from '../../call-exchange.js';

const ANSWER =
	'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 8\r\n\r\n{"a": 1}';
const body = {requestId: 'r', customer: 'c', operation: 'grant', body: {}};

describe('exchangeCall', () => {
	let server: Server;
	let received: string[];
	let onData: (socket: Socket) => void;

	beforeEach(async () => {
		received = [];
		server = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.on('data', (bytes) => {
				received.push(String(bytes));
				onData(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		server.close();
	});

	const call = async (mayWrite: () => boolean, timeoutMs = 2000) => {
		const {port} = server.address() as AddressInfo;
		const address = `http://127.0.0.1:${port}`;
		return exchangeCall({address, body, timeoutMs, mayWrite});
	};

	it('returns the response of the backend server', async () => {
		onData = (socket) => {
			socket.end(ANSWER);
		};

		expect(await call(() => true)).toEqual({
			kind: 'answered',
			result: {status: 200, body: {a: 1}},
		});
	});

	it('writes nothing without permission', async () => {
		await call(() => false);
		expect(received).toEqual([]);
	});

	it('reports a closed connection as lost and does not retry the call', async () => {
		let asked = 0;
		onData = (socket) => {
			socket.destroy();
		};

		const outcome = await call(() => {
			asked += 1;
			return true;
		});
		expect(outcome).toEqual({kind: 'lost'});
		expect(asked).toBe(1);
		expect(received).toHaveLength(1);
	});

	it('reports a refused connection as not sent', async () => {
		const {port} = server.address() as AddressInfo;
		server.close();
		await once(server, 'close');
		const outcome = await exchangeCall({
			address: `http://127.0.0.1:${port}`,
			body,
			timeoutMs: 2000,
			mayWrite: () => true,
		});
		expect(outcome).toEqual({kind: 'not-sent'});
	});

	it('reports a call as lost when the backend server does not respond before the deadline', async () => {
		onData = () => undefined;
		expect(await call(() => true, 50)).toEqual({kind: 'lost'});
	});
});
