import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {afterEach, beforeEach, expect, it} from 'vitest';
import {createJsonServer} from '../../json-server.js';
import {createTestBuffers} from './test-buffers.js';

// Instances, backend servers and operators may reach a control instance from one address,
// through a proxy or from one host. Bodies whose last byte one of them held back used up
// what the address may hold, and Raft messages, reports and heartbeats of the others were
// refused meanwhile: the group had no leader, and configurations got 503.

/** An address may hold a third of it: 2,796,202 bytes. */
const CAPACITY = 8_388_608;
const HELD_BYTES = 1_397_000;
const HELD_COUNT = 2;
/** Largest message that was refused in the soak. */
const MESSAGE_BYTES = 2657;
const LIMIT_MS = 3000;

const buffers = createTestBuffers(CAPACITY);
const server = createJsonServer({
	handler: async () => ({status: 200}),
	onError: () => undefined,
	buffers,
	source: 'instances',
});

beforeEach(async () => {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});

afterEach(() => {
	server.closeAllConnections();
	server.close();
});

const readPort = (): number => (server.address() as AddressInfo).port;

function holdBody(): void {
	const socket = connect({host: '127.0.0.1', port: readPort()});
	socket.on('error', () => undefined);
	socket.resume();
	socket.write(
		`POST /report HTTP/1.1\r\nHost: a\r\nContent-Length: ${HELD_BYTES}\r\n\r\n`,
	);
	socket.write(Buffer.alloc(HELD_BYTES - 1));
}

async function send(bytes: number): Promise<number | undefined> {
	return new Promise((resolve, reject) => {
		const call = request(
			{host: '127.0.0.1', port: readPort(), method: 'POST', path: '/raft'},
			(response) => {
				response.resume();
				resolve(response.statusCode);
			},
		);
		call.on('error', reject);
		call.end(Buffer.alloc(bytes));
	});
}

it('takes small messages from an address whose other senders hold large bodies back', async () => {
	Array.from({length: HELD_COUNT}).forEach(() => {
		holdBody();
	});
	await expect
		.poll(() => buffers.readUsedBytes(), {timeout: LIMIT_MS})
		.toBeGreaterThanOrEqual(HELD_COUNT * (HELD_BYTES - 1));
	expect(await send(HELD_BYTES)).toBe(503);
	expect(await send(MESSAGE_BYTES)).toBe(200);
});
