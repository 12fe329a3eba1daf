import {expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	formatEvent,
	startBackend,
	startHarness,
} from './harness.js';

const cleanups = createCleanups();

// An answer that was kept has no pace, and its caller may name no tokens.
it.each([3000, 12_000])(
	'a stream of %i events that arrive at once is whole',
	async (count) => {
		const text = Array.from({length: count}, (_, i) => formatEvent(i + 1)).join(
			'',
		);
		const {port, server} = await startBackend((req, res) => {
			req.resume();
			res.writeHead(200, {
				'Request-Id': String(req.headers['request-id'] ?? ''),
				'Content-Type': 'text/event-stream',
			});
			res.end(text);
		});
		cleanups.push(() => server.close());
		const harness = await startHarness(configuration);
		cleanups.push(harness.close);
		harness.setBackends([port]);
		const {isWhole, body} = await call(harness.port, '/stream/1');
		expect({isWhole, bytes: body.length}).toEqual({
			isWhole: true,
			bytes: text.length,
		});
	},
);
