import {expect, it} from 'vitest';
import {createAnswer, OK} from './faulty-answers.js';
import {
	call,
	configuration,
	createCleanups,
	exchangeRaw,
	startHarness,
	startRawBackend,
} from './harness.js';

const cleanups = createCleanups();

// The HTTP client refuses these characters, and each backend server in turn was taken for
// unreachable; other callers were refused for a while.
it.each(['\t', '\f'])(
	'a target with %j is refused, and backend servers stay in use',
	async (character) => {
		const backend = await startRawBackend((socket) => {
			socket.end(createAnswer(OK, 'text').bytes);
		});
		const harness = await startHarness(configuration);
		harness.setBackends([backend.port]);
		cleanups.push(harness.close, () => backend.server.close());
		const target = `/plain/a${character}b`;
		const response = await exchangeRaw(
			harness.port,
			`GET ${target} HTTP/1.1\r\nHost: test\r\nRequest-Id: r-1\r\nConnection: close\r\n\r\n`,
		);
		expect(response.text).toMatch(/^HTTP\/1\.1 400 /);
		expect(harness.view.readAvailability('e-0')).toBe('usable');
		expect(await call(harness.port, '/plain/x')).toMatchObject({status: 200});
	},
);
