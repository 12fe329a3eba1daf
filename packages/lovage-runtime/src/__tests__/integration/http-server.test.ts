import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Hono} from 'hono';
import {expect, it} from 'vitest';
import {serveHttp} from '../../index.js';

/** More than the socket buffers of both sides hold. */
const BODY_BYTES = 12_000_000;

// Node.js takes a connection for idle before a slow caller has its whole answer.
it('delivers a complete answer to a slow caller before it has drained', async () => {
	const app = new Hono();
	app.get('/', (ctx) => ctx.body('x'.repeat(BODY_BYTES)));
	const started = await serveHttp(app, '127.0.0.1', 0);
	const server = started._unsafeUnwrap();
	const socket = connect(server.port, '127.0.0.1');
	socket.pause();
	socket.write('GET / HTTP/1.1\r\nHost: test\r\n\r\n');
	await sleep(200);
	let isDrained = false;
	const drain = async (): Promise<void> => {
		await server.drain();
		isDrained = true;
	};

	const drained = drain();
	await sleep(200);
	expect(isDrained).toBe(false);
	let size = 0;
	socket.on('data', (chunk) => {
		size += chunk.length;
	});
	socket.resume();
	await Promise.all([drained, once(socket, 'close')]);
	expect(size).toBeGreaterThan(BODY_BYTES);
	await server.close();
});
