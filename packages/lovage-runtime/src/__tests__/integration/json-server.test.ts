import {once} from 'node:events';
import {request} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {afterEach, beforeEach, expect, it} from 'vitest';
import {createJsonServer, type JsonRequest} from '../../json-server.js';
import {createTestBuffers} from './test-buffers.js';

/** Wire bytes of chunks of one byte whose cost is that of a rest of 4 MB, and of one read. */
const MAX_FRAGMENTED_BYTES = 262_144;
/** Small chunks that the server may read at once. */
const MAX_SMALL_CHUNKS = 4096;
const errors: unknown[] = [];
const cyclic: Record<string, unknown> = {};
cyclic.self = cyclic;

async function handle({path, text}: JsonRequest) {
	switch (path) {
		case '/throw': {
			throw new RangeError('out of range');
		}

		case '/cyclic': {
			return {status: 200, body: cyclic};
		}

		case '/header': {
			return {status: 200, headers: {'X-Name': 'a\nb'}};
		}

		case '/status': {
			return {status: 9000};
		}

		default: {
			return {status: 200, body: {path, text}};
		}
	}
}

const server = createJsonServer({
	handler: handle,
	onError(error) {
		errors.push(error);
	},
	buffers: createTestBuffers(undefined, MAX_SMALL_CHUNKS),
	source: 'callers',
});

beforeEach(async () => {
	errors.length = 0;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});

afterEach(() => {
	server.closeAllConnections();
	server.close();
});

type Answer = Readonly<{status: number; text: string}>;

async function call(
	path: string,
	body: string | Uint8Array = '',
): Promise<Answer> {
	const {port} = server.address() as AddressInfo;
	return new Promise((resolve, reject) => {
		const req = request({port, host: '127.0.0.1', path, method: 'PUT'});
		req.on('error', reject);
		req.on('response', async (res) => {
			const chunks: Uint8Array[] = [];
			for await (const chunk of res) {
				chunks.push(chunk as Uint8Array);
			}

			const text = Buffer.concat(chunks).toString('utf8');
			resolve({status: res.statusCode!, text});
		});
		req.end(body);
	});
}

// The target was handed to a call that throws outside of what caught errors.
it.each([
	['//', 200],
	['///v1/config?a=%zz', 200],
	['//[', 200],
	['http://%zz', 400],
	['*', 400],
	['x', 400],
])('answers a request to %s', async (target, status) => {
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.write(
		`GET ${target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`,
	);
	let text = '';
	for await (const chunk of socket) {
		text += String(chunk);
	}

	expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
	expect(errors).toEqual([]);
});

it.each(['/throw', '/cyclic', '/header', '/status'])(
	'contains an error in the answer to %s',
	async (path) => {
		expect(await call(path)).toMatchObject({status: 500});
		expect(errors).toHaveLength(1);
		expect(await call('/')).toMatchObject({status: 200});
	},
);

it('refuses a body that is no UTF-8', async () => {
	const answer = await call('/', new Uint8Array([0x22, 0xc3, 0x28, 0x22]));
	expect(answer.status).toBe(400);
	expect(await call('/', 'ño')).toMatchObject({
		text: '{"path":"/","text":"ño"}',
	});
});

it('refuses a body that is too large', async () => {
	const answer = await call('/', Buffer.alloc(17_000_000));
	expect(answer.status).toBe(413);
});

// Each chunk took time of other requests until 4 MB of payload had come, one byte at a time.
it('closes a connection that goes on in chunks of one byte behind the refusal', async () => {
	const sockets: Socket[] = [];
	const record = (socket: Socket): void => {
		sockets.push(socket);
	};

	server.on('connection', record);
	const {port} = server.address() as AddressInfo;
	const sender = connect({host: '127.0.0.1', port});
	const block = '1\r\nx\r\n'.repeat(10_000);
	const send = (): void => {
		if (!sender.destroyed) {
			sender.write(block, () => {
				setImmediate(send);
			});
		}
	};

	sender.on('error', () => undefined);
	sender.resume();
	sender.write(
		'PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n',
	);
	send();
	await new Promise((resolve) => {
		sender.once('close', resolve);
	});
	server.off('connection', record);
	expect(sockets).toHaveLength(1);
	expect(sockets[0]!.bytesRead).toBeLessThan(MAX_FRAGMENTED_BYTES);
});
