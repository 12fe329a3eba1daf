import {expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	formatEvent,
	startHarness,
} from './harness.js';
import {startSoundBackend} from './started-backends.js';

const cleanups = createCleanups();

// An answer that was kept has no pace, and its caller may name no tokens.
it.each([3000, 12_000])(
	'a stream of %i events that arrive at once is whole',
	async (count) => {
		const text = Array.from({length: count}, (_, i) => formatEvent(i + 1)).join(
			'',
		);
		const port = await startSoundBackend(cleanups, () => text);
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
