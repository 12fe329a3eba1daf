import {connect} from 'node:net';
import {describe, expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	formatEvent,
	startBackend,
	startHarness,
	startRawBackend,
	type Harness,
} from './harness.js';

const cleanups = createCleanups();

async function start(
	...backends: ReadonlyArray<{server: {close: () => unknown}; port: number}>
): Promise<Harness> {
	const harness = await startHarness(configuration);
	harness.setBackends(backends.map(({port}) => port));
	cleanups.push(
		harness.close,
		...backends.map(
			({server}) =>
				() =>
					server.close(),
		),
	);
	return harness;
}

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n';

async function startStreaming(
	ids: readonly number[],
	end: 'whole' | 'reset' | 'silent',
) {
	const seen: Array<Record<string, unknown>> = [];
	const backend = await startBackend((req, res) => {
		seen.push(req.headers);
		res.writeHead(200, {'Request-Id': req.headers['request-id']});
		ids.forEach((id) => res.write(formatEvent(id)));
		if (end === 'whole') {
			res.end();
		} else if (end === 'reset') {
			// A partial event, which the caller must not receive.
			res.write('id: 99\ndata: ha');
			setTimeout(() => req.socket.resetAndDestroy(), 30);
		}
	});
	return {...backend, seen};
}

describe('unary requests', () => {
	it('forwards a complete response', async () => {
		const backend = await startBackend((req, res) => {
			res.writeHead(200, {'Request-Id': 'r-1', Seal: 's'}).end('body');
		});
		const {port} = await start(backend);
		const response = await call(port, '/plain/1');
		expect(response).toMatchObject({status: 200, body: 'body', isWhole: true});
		expect(response.headers.seal).toBe('s');
	});

	it('does not treat a reset as the end of a close-delimited response', async () => {
		const backend = await startRawBackend((socket) => {
			socket.write(`${HEAD}\r\npart of the answer`);
			setTimeout(() => socket.resetAndDestroy(), 30);
		});
		const {port} = await start(backend);
		const response = await call(port, '/once/1');
		expect(response.status).toBe(502);
	});

	it('detects a reset that arrives together with the last bytes', async () => {
		const backend = await startRawBackend((socket) => {
			socket.write(`${HEAD}\r\npart of the answer`);
			socket.resetAndDestroy();
		});
		const {port} = await start(backend);
		const response = await call(port, '/once/1');
		expect(response.status).toBe(502);
	});

	it('accepts an orderly close as the end of a close-delimited response', async () => {
		const backend = await startRawBackend((socket) => {
			socket.end(`${HEAD}\r\nthe answer`);
		});
		const {port} = await start(backend);
		const response = await call(port, '/once/1');
		expect(response).toMatchObject({status: 200, body: 'the answer'});
	});

	it('never retries a non-idempotent request once its bytes were written', async () => {
		let arrivals = 0;
		const reset = await startRawBackend((socket) => {
			arrivals += 1;
			socket.resetAndDestroy();
		});
		const other = await startBackend((req, res) => {
			arrivals += 1;
			res.end();
		});
		const {port} = await start(reset, other);
		const response = await call(port, '/once/1', {}, 'grant');
		expect(response.status).toBe(502);
		expect(arrivals).toBe(1);
	});

	it('retries a non-idempotent request when no connection could be made', async () => {
		const gone = await startBackend(() => undefined);
		gone.server.close();
		const backend = await startBackend((req, res) => {
			res.writeHead(200, {'Request-Id': 'r-1'}).end('done');
		});
		const {port} = await start(gone, backend);
		expect(await call(port, '/once/1')).toMatchObject({body: 'done'});
	});

	it('retries an idempotent request at another backend server after a reset', async () => {
		const reset = await startRawBackend((socket) => socket.resetAndDestroy());
		const backend = await startBackend((req, res) => {
			res.writeHead(200, {'Request-Id': 'r-1'}).end('done');
		});
		const {port} = await start(reset, backend);
		expect(await call(port, '/plain/1')).toMatchObject({body: 'done'});
	});

	it('does not forward a response that belongs to another request', async () => {
		const backend = await startBackend((req, res) => {
			res.writeHead(200, {'Request-Id': 'r-0'}).end('not yours');
		});
		const {port} = await start(backend);
		expect(await call(port, '/once/1')).toMatchObject({status: 502});
	});

	it('rejects with Retry-After when the backend server did not run the request', async () => {
		const backend = await startBackend((req, res) => {
			res.writeHead(503, {'Not-Run': '1', 'Request-Id': 'r-1'}).end();
		});
		const {port} = await start(backend);
		const response = await call(port, '/once/1');
		expect(response.status).toBe(503);
		expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
	});

	it('responds at the deadline of the caller when the backend server sends nothing', async () => {
		const backend = await startBackend(() => undefined);
		const {port} = await start(backend);
		const response = await call(port, '/once/1', {'Wait-Ms': '200'});
		expect(response.status).toBe(504);
	});

	it('closes the backend connection when the caller disconnects', async () => {
		let markCancelled: () => void;
		const cancelled = new Promise<void>((resolve) => {
			markCancelled = resolve;
		});
		const backend = await startBackend((req) => {
			req.socket.once('close', () => {
				markCancelled();
			});
		});
		const {port} = await start(backend);
		const socket = connect(port, '127.0.0.1', () => {
			socket.write(
				'GET /once/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: r-1\r\n\r\n',
			);
			setTimeout(() => socket.destroy(), 100);
		});
		await cancelled;
	});

	it('rejects what the configuration does not allow, and everything before the first configuration', async () => {
		const {port} = await start();
		expect(await call(port, '/nowhere/')).toMatchObject({status: 404});
		const long = 'x'.repeat(20_000);
		expect(await call(port, '/plain/1', {}, long)).toMatchObject({status: 413});
		const big = 'x'.repeat(9000);
		expect(await call(port, '/plain/1', {big})).toMatchObject({status: 431});
		const empty = await startHarness(undefined);
		cleanups.push(empty.close);
		expect(await call(port, '/plain/1')).toMatchObject({status: 503});
	});
});

describe('streams', () => {
	it('rejects at once when no backend server is known', async () => {
		const {port} = await start();
		const response = await call(port, '/stream/1');
		expect(response.status).toBe(503);
		expect(response.headers['retry-after']).toBeDefined();
	});

	it('resumes at another backend server after a reset, without duplicate or partial events', async () => {
		const first = await startStreaming([1, 2], 'reset');
		const second = await startStreaming([2, 3, 4], 'whole');
		const {port} = await start(first, second);
		const response = await call(port, '/stream/1');
		expect(response.body).toBe([1, 2, 3, 4].map(formatEvent).join(''));
		expect(response.isWhole).toBe(true);
		expect(second.seen[0]).toMatchObject({
			'last-event-id': '2',
			copy: 'r-1',
		});
	});

	it('moves a silent stream to another backend server and closes the old connection', async () => {
		const first = await startStreaming([1], 'silent');
		const second = await startStreaming([2], 'whole');
		let closed = 0;
		first.server.on('connection', (socket) => {
			socket.once('close', () => {
				closed += 1;
			});
		});
		const {port} = await start(first, second);
		const response = await call(port, '/stream/1');
		expect(response.body).toBe(formatEvent(1) + formatEvent(2));
		expect(closed).toBeGreaterThan(0);
	});

	it('never runs a non-resumable stream twice', async () => {
		const first = await startStreaming([1, 2], 'reset');
		const second = await startStreaming([3], 'whole');
		const {port} = await start(first, second);
		const response = await call(port, '/stream-once/1');
		expect(response.isWhole).toBe(false);
		expect(second.seen).toHaveLength(0);
	});

	it('aborts an interrupted stream that cannot be resumed', async () => {
		const only = await startStreaming([1], 'reset');
		const {port} = await start(only);
		const response = await call(port, '/stream/1', {'Wait-Ms': '600'});
		expect(response.isWhole).toBe(false);
		expect(response.body).toBe(formatEvent(1));
	});

	it('requests another KV cache copy when the backend server that held it has ended', async () => {
		const orders: string[] = [];
		const first = await startBackend((req, res) => {
			if (req.url?.startsWith('/copy/')) {
				orders.push(`${req.method} ${req.url}`);
				res.end('copy-7');
				return;
			}

			res.writeHead(200, {'Request-Id': 'r-1'});
			const timer = setInterval(() => res.write(formatEvent(1)), 50);
			setTimeout(() => {
				clearInterval(timer);
				req.socket.resetAndDestroy();
			}, 400);
		});
		const backup = await startBackend(() => undefined);
		const third = await startStreaming([2], 'whole');
		const {port, setBackends} = await start(first, backup, third);
		const ports = [first.port, backup.port, third.port];
		setTimeout(() => {
			setBackends(ports, ['ready', 'gone', 'ready']);
		}, 100);
		const response = await call(port, '/stream/1');
		expect(response.body).toBe(formatEvent(1) + formatEvent(2));
		expect(orders).toEqual(['POST /copy/r-1']);
		expect(third.seen[0]).toMatchObject({copy: 'copy-7'});
	});

	it('retries at the same backend server without the copy when the copy was lost', async () => {
		const first = await startStreaming([1], 'reset');
		let asked = 0;
		const second = await startBackend((req, res) => {
			asked += 1;
			if (req.headers.copy !== undefined) {
				res.writeHead(503, {'Not-Run': '1', 'Request-Id': 'r-1'}).end();
				return;
			}

			res.writeHead(200, {'Request-Id': 'r-1'}).end(formatEvent(2));
		});
		const {port} = await start(first, second);
		const response = await call(port, '/stream/1');
		expect(response.body).toBe(formatEvent(1) + formatEvent(2));
		expect(asked).toBe(2);
	});
});
