import {describe, expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	exchangeRaw,
	formatEvent,
	startHarness,
	startRawBackend,
	type Harness,
} from './harness.js';

const cleanups = createCleanups();
/** The head of an answer that ends with its connection. */
const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nConnection: close\r\n\r\n';

/** The same, with a transfer coding that changes nothing. */
const IDENTITY_HEAD = HEAD.replace(
	'Connection:',
	'Transfer-Encoding: identity\r\nConnection:',
);

async function start(
	...answers: ReadonlyArray<
		Readonly<{bytes: string; end: 'end' | 'reset' | 'reset at once'}>
	>
): Promise<Harness> {
	const ports = await Promise.all(
		answers.map(async ({bytes, end}) => {
			const backend = await startRawBackend((socket) => {
				socket.write(bytes);
				if (end === 'reset at once') {
					socket.resetAndDestroy();
					return;
				}

				setTimeout(() => {
					if (end === 'end') {
						socket.end();
					} else {
						socket.resetAndDestroy();
					}
				}, 20);
			});
			cleanups.push(() => backend.server.close());
			return backend.port;
		}),
	);
	const harness = await startHarness(configuration);
	harness.setBackends(ports);
	cleanups.push(harness.close);
	return harness;
}

const whole = formatEvent(1) + formatEvent(2);

describe('an answer without a length or chunks, which ends with its connection', () => {
	it.each([
		['plain', '/once/1', 'answer'],
		['empty', '/once/1', ''],
		['a stream', '/stream/1', whole],
	])('is whole after an orderly end: %s', async (_, path, body) => {
		const {port} = await start({bytes: HEAD + body, end: 'end'});
		const answer = await call(port, path);
		expect(answer).toMatchObject({status: 200, isWhole: true, body});
	});

	it.each([
		['within an event', `${HEAD}${formatEvent(1)}id: 2\ndata: pie`, 'end'],
		['within an event', `${HEAD}${formatEvent(1)}id: 2\ndata: pie`, 'reset'],
		['after an event', HEAD + formatEvent(1), 'reset'],
		['before an event', HEAD, 'reset'],
	] as const)(
		'of a stream is resumed elsewhere when it breaks off: %s, %j, %s',
		async (_, bytes, end) => {
			const {port} = await start(
				{bytes, end},
				{bytes: HEAD + whole, end: 'end'},
			);
			const answer = await call(port, '/stream/1');
			expect(answer).toMatchObject({status: 200, isWhole: true, body: whole});
		},
	);

	// The reset arrives with the last bytes, and Node.js reports an orderly end.
	it.each([
		['/once/1', HEAD],
		['/once/1', IDENTITY_HEAD],
		['/stream-once/1', HEAD],
		['/stream-once/1', IDENTITY_HEAD],
	])('is not whole when it is reset at once: %s, %j', async (path, head) => {
		const bytes = head + formatEvent(1);
		const {port} = await start({bytes, end: 'reset at once'});
		const {status, isWhole} = await call(port, path);
		expect(status === 200 && isWhole).toBe(false);
	});

	it('is whole after an orderly end in the coding "identity"', async () => {
		const {port} = await start({bytes: IDENTITY_HEAD + whole, end: 'end'});
		const answer = await call(port, '/once/1');
		expect(answer).toMatchObject({status: 200, isWhole: true, body: whole});
	});

	it('of a stream that can not be resumed looks broken off to the caller', async () => {
		const bytes = `${HEAD}${formatEvent(1)}id: 2\ndata: pie`;
		const {port} = await start({bytes, end: 'end'});
		const answer = await call(port, '/stream-once/1');
		expect(answer).toMatchObject({isWhole: false, body: formatEvent(1)});
	});

	it.each([
		['end', true],
		['reset', false],
	] as const)(
		'ends the connection of an HTTP/1.0 caller likewise: %s',
		async (end, isWhole) => {
			const {port} = await start({bytes: HEAD + formatEvent(1), end});
			const {isReset} = await exchangeRaw(
				port,
				'POST /stream-once/1 HTTP/1.0\r\nHost: test\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n',
			);
			expect(isReset).toBe(!isWhole);
		},
	);
});
