import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {openExchange} from '../../backend-exchange.js';
import {probeAddress} from '../../backend-probe.js';
import type {HeaderCodec} from '../../protocol.js';
import {
	createAnswer,
	createStream,
	formatEvents,
	OK,
	OPEN_END,
	STREAM,
	type Answer,
} from './faulty-answers.js';
import {
	call,
	configuration,
	createCleanups,
	startHarness,
	startRawBackend,
	testCodec,
} from './harness.js';

const cleanups = createCleanups();

// Callbacks of sockets and timers that throw ended the entry with all its connections.

/** A codec with faults of its own, where a header of an answer asks for them. */
const brittleCodec: HeaderCodec = {
	...testCodec,
	readResponse(status, headers) {
		if (headers.poison !== undefined) {
			throw new TypeError('poison');
		}

		return testCodec.readResponse(status, headers);
	},
	createBackendHeaders(rawHeaders, metadata) {
		if (metadata.lastEventId === '2') {
			throw new TypeError('poison');
		}

		return testCodec.createBackendHeaders(rawHeaders, metadata);
	},
};

/** Starts a gateway before one server, which answers by the path. */
async function startGateway(
	answers: Readonly<Record<string, Answer>>,
	codec?: HeaderCodec,
): Promise<number> {
	const backend = await startRawBackend((socket, text) => {
		const found = Object.entries(answers).find(([path]) => text.includes(path));
		const {bytes, end} = found?.[1] ?? createStream(formatEvents(1, 2, 3));
		const delayMs = found === undefined ? 400 : 0;
		setTimeout(() => {
			socket.write(bytes, 'latin1', () => {
				if (end === 'end') {
					socket.end();
				} else if (end === 'reset') {
					setTimeout(() => socket.resetAndDestroy(), 50);
				}
			});
		}, delayMs);
	});
	const harness = await startHarness(configuration, undefined, [], {codec});
	harness.setBackends([backend.port]);
	cleanups.push(harness.close, () => backend.server.close());
	return harness.port;
}

describe('a callback that throws', () => {
	const poisoned = 'Poison: 1\r\n';
	const broken: Answer = {
		bytes: createStream(formatEvents(1, 2)).bytes.replace('0\r\n\r\n', ''),
		end: 'reset',
	};

	it.each([
		['on the head of an answer', '/plain/bad', 500, ''],
		['on the head of a stream', '/stream/bad', 500, ''],
		['on the retry of a stream', '/stream/cut', 200, formatEvents(1, 2)],
	])('ends its own request only: %s', async (_, path, status, body) => {
		const port = await startGateway(
			{
				'/plain/bad': createAnswer(OK + poisoned, 'text'),
				'/stream/bad': createAnswer(STREAM + poisoned, formatEvents(1)),
				'/stream/cut': broken,
			},
			brittleCodec,
		);
		const other = call(port, '/stream/other');
		const response = await call(port, path);
		expect(response).toMatchObject({status, isWhole: status === 500});
		if (body !== '') {
			expect(response.body).toBe(body);
		}

		expect(await other).toMatchObject({
			status: 200,
			body: formatEvents(1, 2, 3),
			isWhole: true,
		});
	});

	it('ends its own request only: behind an answer that ends with its connection', async () => {
		let sent = 0;
		const codec: HeaderCodec = {
			...testCodec,
			createBackendHeaders(rawHeaders, metadata) {
				sent += 1;
				if (sent > 1) {
					throw new TypeError('poison');
				}

				return testCodec.createBackendHeaders(rawHeaders, metadata);
			},
		};
		const backends = await Promise.all(
			[1, 2].map(async () =>
				startRawBackend((socket) => {
					socket.end(OPEN_END, 'latin1');
				}),
			),
		);
		const harness = await startHarness(configuration, undefined, [], {codec});
		harness.setBackends(backends.map(({port}) => port));
		cleanups.push(harness.close, () => {
			backends.forEach(({server}) => {
				server.close();
			});
		});
		const response = await call(harness.port, '/stream/open', {
			'Last-Event-Id': '2',
		});
		expect(response).toMatchObject({status: 500, isWhole: true});
		expect(sent).toBe(2);
	});

	it('releases the load that its request had reserved', async () => {
		const port = await startGateway(
			{'/once/bad': createAnswer(OK + poisoned, 'text')},
			brittleCodec,
		);
		// One more than the slots of the backend server.
		for (let i = 0; i < 9; i += 1) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			expect(await call(port, '/once/bad')).toMatchObject({status: 500});
		}

		expect(await call(port, '/stream/other')).toMatchObject({isWhole: true});
	});
});

describe('an argument that Node.js refuses', () => {
	it.each([
		['a port', {address: '127.0.0.1:80800'}],
		['a path', {path: '/a b'}],
		['a header value', {headers: ['Last-Event-Id', '\u20AC']}],
		['a header name', {headers: ['', 'x']}],
		['a method', {method: 'G T'}],
	])('is a failure without a connection: %s', async (_, change) => {
		const request = {
			address: '127.0.0.1:9',
			method: 'GET',
			path: '/',
			headers: [],
			body: undefined,
			...change,
		};
		const failure = await new Promise((resolve) => {
			openExchange(request, {onResponse: resolve, onFailure: resolve});
		});
		expect(failure).toMatchObject({kind: 'not-sent'});
		let hasFailed = false;
		const exchange = openExchange(request, {
			onResponse: () => undefined,
			onFailure() {
				hasFailed = true;
			},
		});
		exchange.cancel();
		await sleep(20);
		expect(hasFailed).toBe(false);
	});

	it.each(['127.0.0.1:80800', '127.0.0.1:-1', '', '127.0.0.1:NaN'])(
		'is an unreachable address: %j',
		async (address) => {
			expect(await probeAddress(address)).toBe(false);
		},
	);
});
