import {expect, it} from 'vitest';
import {
	CHUNKED,
	createBroken,
	createStream,
	formatChunk,
	formatEvents,
} from './faulty-answers.js';
import {
	call,
	configuration,
	createCleanups,
	startHarness,
	startRawBackend,
} from './harness.js';

const cleanups = createCleanups();

// Case review/3: a control instance of an earlier build hands port 80800 out.
it('a stream is not moved to an address that no connection can be opened to', async () => {
	const broken = await startRawBackend((socket) => {
		socket.write(createBroken(1, 2).bytes);
		setTimeout(() => socket.resetAndDestroy(), 50);
	});
	const sound = await startRawBackend((socket, text) => {
		const isResumed = /last-event-id/i.test(text);
		socket.end(
			isResumed
				? createStream(formatEvents(3)).bytes
				: CHUNKED + formatChunk(formatEvents(1)),
		);
	});
	const harness = await startHarness(configuration);
	harness.setBackends([broken.port, 80_800, sound.port]);
	cleanups.push(
		harness.close,
		() => broken.server.close(),
		() => sound.server.close(),
	);
	expect(await call(harness.port, '/stream/1')).toMatchObject({
		status: 200,
		body: formatEvents(1, 2, 3),
		isWhole: true,
	});
});
