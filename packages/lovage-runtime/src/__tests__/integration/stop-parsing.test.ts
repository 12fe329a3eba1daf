// Guards against chunks that are handed on behind the end of a connection: 1,500 bodies in
// chunks of one byte kept a process busy for 20 s after their callers had left.
import {once} from 'node:events';
import {createServer, request} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {afterAll, beforeAll, expect, it} from 'vitest';
import {stopParsing} from '../../stop-parsing.js';

const HOST = '127.0.0.1';
const CHUNKS = 10_000;
/** Chunks that are read before the connection is closed. */
const READ_CHUNKS = 10;
/** More than the connections whose parsers Node.js keeps from the test before. */
const LATER_REQUESTS = 20;

let handedOn = 0;
const server = createServer(async (req, res) => {
	if (req.url === '/echo') {
		res.end(await text(req));
		return;
	}

	const push = req.push.bind(req);
	req.push = (chunk: unknown) => {
		handedOn += 1;
		return push(chunk);
	};

	req.on('error', () => undefined);
	req.on('data', () => {
		if (handedOn === READ_CHUNKS) {
			stopParsing(req.socket);
			req.destroy();
			req.socket.destroy();
		}
	});
});

beforeAll(async () => {
	server.listen(0, HOST);
	await once(server, 'listening');
});

afterAll(() => {
	server.close();
});

const readPort = (): number => (server.address() as AddressInfo).port;

async function echo(body: string): Promise<string> {
	const req = request({
		host: HOST,
		port: readPort(),
		path: '/echo',
		method: 'POST',
	});
	req.setHeader('Transfer-Encoding', 'chunked');
	req.end(body);
	const [res] = (await once(req, 'response')) as [NodeJS.ReadableStream];
	return text(res);
}

it('hands on no further chunks of a connection that is closed', async () => {
	handedOn = 0;
	const socket = connect(readPort(), HOST);
	socket.on('error', () => undefined);
	const closed = once(socket, 'close');
	socket.write(
		`POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(CHUNKS)}`,
	);
	await closed;
	expect(handedOn).toBe(READ_CHUNKS);
});

it('reads the bodies of later connections that use the same parser', async () => {
	const bodies = Array.from({length: LATER_REQUESTS}, (_, i) => `body ${i}`);
	expect(await Promise.all(bodies.map(echo))).toEqual(bodies);
});
