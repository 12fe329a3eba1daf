import {describe, expect, it} from 'vitest';
import {
	createBroken,
	CHUNKED,
	createHead,
	formatChunk,
	formatEvents,
	callAsHttp10,
	startFleet,
	type Answer,
} from './faulty-answers.js';
import {
	call,
	configuration,
	createCleanups,
	startHarness,
	startRawBackend,
} from './harness.js';

// The entry itself ends a stream behind its head: its error's text gets into the stream,
// or the stream looks whole.

const cleanups = createCleanups();

const SILENT: Answer = {
	bytes: CHUNKED + formatChunk(formatEvents(1, 2)),
	end: 'silence',
};

describe('behind the first events', () => {
	it.each([
		['the deadline passes', [SILENT]],
		['no backend server is left', [createBroken(1, 2)]],
	])('a stream breaks off without a word when %s', async (_, answers) => {
		const {port} = await startFleet(cleanups, answers);
		const response = await call(port, '/stream/1', {'Wait-Ms': '700'});
		expect(response).toMatchObject({
			status: 200,
			body: formatEvents(1, 2),
			isWhole: false,
		});
		const {body, isReset} = await callAsHttp10(port, '/stream-once/1', 700);
		expect(body).toBe(formatEvents(1, 2));
		expect(isReset).toBe(true);
	});
});

// An error that is still being read belongs to a run that was left meanwhile.
it('the rest of an error does not get into the stream that began elsewhere', async () => {
	const text = 'internal error '.repeat(10);
	const failing = await startRawBackend((socket) => {
		socket.write(
			`${createHead(404)}Content-Length: ${text.length}\r\n\r\ninternal`,
		);
		setTimeout(() => {
			socket.write(text.slice('internal'.length));
		}, 800);
	});
	const sound = await startRawBackend((socket) => {
		socket.write(CHUNKED + formatChunk(formatEvents(1)));
		setTimeout(() => {
			socket.write(`${formatChunk(formatEvents(2))}0\r\n\r\n`);
		}, 1000);
	});
	const harness = await startHarness({
		...configuration,
		routes: configuration.routes.map((route) => ({
			...route,
			timeoutMs: 4000,
			latencyTargetMs: 200,
		})),
	});
	harness.setBackends([failing.port, sound.port]);
	cleanups.push(
		harness.close,
		() => failing.server.close(),
		() => sound.server.close(),
	);
	const response = await call(harness.port, '/stream/1', {'Wait-Ms': '4000'});
	expect(response).toMatchObject({
		status: 200,
		body: formatEvents(1, 2),
		isWhole: true,
	});
});
