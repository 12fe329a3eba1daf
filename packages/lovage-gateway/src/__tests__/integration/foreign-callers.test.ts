import {Buffer} from 'node:buffer';
import {beforeEach, describe, expect, it} from 'vitest';
import {createStream, formatEvents} from './faulty-answers.js';
import {
	call,
	configuration,
	createCleanups,
	exchangeRaw,
	startHarness,
	startRawBackend,
} from './harness.js';

const cleanups = createCleanups();
let port = 0;

beforeEach(async () => {
	const backend = await startRawBackend((socket) => {
		socket.end(createStream(formatEvents(1, 2)).bytes);
	});
	const harness = await startHarness({
		...configuration,
		// Any target is passed on.
		routes: configuration.routes.flatMap((route) => [
			route,
			{...route, pathPrefix: ''},
		]),
	});
	harness.setBackends([backend.port]);
	cleanups.push(harness.close, () => backend.server.close());
	({port} = harness);
});

function createRequest(
	target: string,
	headers: readonly string[] = [],
	line = `GET ${target} HTTP/1.1`,
): string {
	const lines = [line, 'Host: test', 'Request-Id: r-1', ...headers];
	return `${lines.join('\r\n')}\r\nConnection: close\r\n\r\n`;
}

const TARGETS = [
	'//',
	'/stream/%',
	'/stream/%ff%00',
	'/stream/\u00FF',
	'http://',
	'http://test:99999/stream/1',
	'http://[::1/stream/1',
	`/stream/${'x'.repeat(6000)}`,
	'/__proto__',
	'?',
	'*',
];
const VALUES = [
	'1e300',
	'1e999',
	'-1',
	'0',
	'NaN',
	'constructor',
	'__proto__',
	'\u00FF',
	'"',
	',',
	'',
	'x'.repeat(6000),
];
const HEADERS = [
	'Wait-Ms',
	'Last-Event-Id',
	'Prompt',
	'Parts',
	'Key',
	'Host',
	'Request-Id',
	'Content-Type',
];

// Whatever callers send, only their own request ends with it.
describe('a caller', () => {
	it.each([
		...TARGETS.map((target) => [target.slice(0, 40), createRequest(target)]),
		...HEADERS.map((name) => [
			name,
			createRequest('/stream/1', [`${name}: \u00FF`]),
		]),
		['HTTP/1.0', 'GET /stream/1 HTTP/1.0\r\n\r\n'],
		['no host', 'GET /stream/1 HTTP/1.1\r\nConnection: close\r\n\r\n'],
		['an upgrade', createRequest('/stream/1', ['Upgrade: x'])],
		['CONNECT', createRequest('', [], 'CONNECT test:80 HTTP/1.1')],
		['OPTIONS', createRequest('', [], 'OPTIONS * HTTP/1.1')],
		['TRACE', createRequest('', [], 'TRACE /stream/1 HTTP/1.1')],
		['an unknown method', createRequest('', [], 'MÄH / HTTP/1.1')],
		['an expectation', createRequest('/stream/1', ['Expect: 200-ok'])],
		['a length', createRequest('/stream/1', ['Content-Length: 1e300'])],
		['bytes', Buffer.from([0, 255, 13, 10, 13, 10]).toString('latin1')],
	])('that sends %s ends nothing else', async (_, text) => {
		await exchangeRaw(port, text);
		expect(await call(port, '/stream/1')).toMatchObject({
			status: 200,
			body: formatEvents(1, 2),
			isWhole: true,
		});
	});

	it.each(HEADERS)(
		'that sends any value as %s ends nothing else',
		async (name) => {
			await Promise.all(
				VALUES.flatMap((value) =>
					['/stream/1', '/plain/1'].map(async (path) =>
						exchangeRaw(port, createRequest(path, [`${name}: ${value}`])),
					),
				),
			);
			expect(await call(port, '/stream/1')).toMatchObject({isWhole: true});
		},
	);
});
