import {expect, it} from 'vitest';
import {createStream, formatEvents} from './faulty-answers.js';
import {
	configuration,
	createCleanups,
	startHarness,
	startRawBackend,
} from './harness.js';

const cleanups = createCleanups();

// An earlier control instance hands out any number as a time.
it.each([-5000, 0.5, 2 ** 31, 1e300])(
	'streams on kept connections are answered with times of %d ms in the configuration',
	async (time) => {
		const backend = await startRawBackend((socket) => {
			setTimeout(() => {
				socket.end(createStream(formatEvents(1, 2)).bytes);
			}, 50);
		});
		const {limits, routes} = configuration;
		const harness = await startHarness({
			...configuration,
			limits: {...limits, headerTimeoutMs: time, idleTimeoutMs: time},
			routes: routes.map((route) => ({
				...route,
				host: '127.0.0.1',
				timeoutMs: Math.max(5000, time),
			})),
		});
		cleanups.push(harness.close, () => backend.server.close());
		harness.setBackends([backend.port]);
		for (let i = 0; i < 3; i += 1) {
			/* eslint-disable no-await-in-loop -- one after the other */
			const response = await fetch(
				`http://127.0.0.1:${harness.port}/stream/1`,
				{
					headers: {'Request-Id': 'r-1', 'Wait-Ms': '1e300'},
				},
			);
			expect(await response.text()).toBe(formatEvents(1, 2));
			/* eslint-enable no-await-in-loop */
		}
	},
);
