import {expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	startHarness,
	type Harness,
} from './harness.js';
import {startSoundBackend} from './started-backends.js';

const cleanups = createCleanups();

async function start(isEngine: boolean): Promise<Harness> {
	const port = await startSoundBackend(cleanups);
	const harness = await startHarness({
		...configuration,
		services: configuration.services.map(({engine, ...service}) => ({
			...service,
			...(isEngine ? {engine} : {}),
		})),
	});
	cleanups.push(harness.close);
	harness.setBackends([port]);
	return harness;
}

/** Samples of the only backend server that a report to a control instance has. */
function listSamples({view}: Harness): readonly number[] {
	return Object.values(view.speeds.createReport('c').speeds ?? {}).map(
		([samples]) => Math.round(samples),
	);
}

// Without a sample, placement can't learn that a server is slow.
it.each([
	['the first event of a stream', true, '/stream/1'],
	['the answer of a plain server', false, '/plain/1'],
])('%s measures the speed of its server', async (_, isEngine, target) => {
	const harness = await start(isEngine);
	const response = await call(harness.port, target, {Prompt: '500'});
	expect(response.status).toBe(200);
	expect(listSamples(harness)).toEqual([1]);
});

it('an answer of an engine to a plain request is no sample', async () => {
	const harness = await start(true);
	await call(harness.port, '/plain/1', {Prompt: '500'});
	expect(listSamples(harness)).toEqual([]);
});
