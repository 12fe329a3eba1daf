import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {
	adaptConfiguration,
	call,
	configuration,
	createCleanups,
	formatEvent,
	startBackend,
	startHarness,
} from './harness.js';

const cleanups = createCleanups();

const EVENT_COUNT = 20;
const SILENT_AFTER = 8;
const SILENCE_MS = 1100;
const WHOLE_BODY = Array.from({length: EVENT_COUNT}, (_, i) =>
	formatEvent(i + 1),
).join('');

/** Starts an engine that is silent for a second in the middle of each stream. */
async function startSilentEngine() {
	const seen: string[] = [];
	const backend = await startBackend(async (req, res) => {
		const id = String(req.headers['request-id']);
		seen.push(id);
		res.on('error', () => undefined);
		res.writeHead(200, {'Request-Id': id});
		const after = Number(req.headers['last-event-id'] ?? 0);
		for (let event = after + 1; event <= EVENT_COUNT; event += 1) {
			// eslint-disable-next-line no-await-in-loop -- paces the events
			await sleep(event === SILENT_AFTER ? SILENCE_MS : 20);
			res.write(formatEvent(event));
		}

		res.end();
	});
	cleanups.push(() => {
		backend.server.closeAllConnections();
		backend.server.close();
	});
	return {...backend, seen};
}

async function start(canKeepCopies: boolean) {
	const engines = [await startSilentEngine(), await startSilentEngine()];
	const harness = await startHarness(
		adaptConfiguration(
			{timeoutMs: 8000, maxAttempts: 5},
			{canBackUp: canKeepCopies, canCopy: canKeepCopies},
		),
	);
	harness.setBackends(engines.map(({port}) => port));
	cleanups.push(harness.close);
	return {engines, harness};
}

// It accepts connections all the while, and another engine would have to process the
// whole prompt.
it('a stream stays at a sound backend server that falls silent for a second', async () => {
	const {engines, harness} = await start(false);
	const response = await call(harness.port, '/stream/1', {'Wait-Ms': '8000'});
	expect(response).toMatchObject({isWhole: true, body: WHOLE_BODY});
	expect(engines.flatMap(({seen}) => seen)).toEqual(['r-1']);
});

it('a backend server that falls silent for a second is neither blamed nor avoided', async () => {
	const {engines, harness} = await start(true);
	const responses = await Promise.all(
		['1', '2', '3'].map(async (id) =>
			call(harness.port, `/stream/${id}`, {
				'Request-Id': `r-${id}`,
				'Wait-Ms': '8000',
			}),
		),
	);
	expect(responses.map(({body}) => body)).toEqual(
		responses.map(() => WHOLE_BODY),
	);
	expect(harness.crashes).toEqual([]);
	const before = engines.map(({seen}) => seen.length);
	await Promise.all(
		['4', '5', '6', '7'].map(async (id) =>
			call(harness.port, `/stream/${id}`, {
				'Request-Id': `r-${id}`,
				'Wait-Ms': '8000',
			}),
		),
	);
	expect(engines.every(({seen}, i) => seen.length > before[i]!)).toBe(true);
});

it('a plain request to a silent backend server is served, and runs once if it may not run twice', async () => {
	const seen: string[] = [];
	const backend = await startBackend(async (req, res) => {
		const id = String(req.headers['request-id']);
		seen.push(id);
		res.on('error', () => undefined);
		await sleep(SILENCE_MS);
		res.writeHead(200, {'Request-Id': id}).end('done');
	});
	cleanups.push(() => {
		backend.server.closeAllConnections();
		backend.server.close();
	});
	const harness = await startHarness(configuration);
	harness.setBackends([backend.port]);
	cleanups.push(harness.close);
	const response = await call(harness.port, '/once/1');
	expect(response).toMatchObject({status: 200, body: 'done'});
	expect(seen).toEqual(['r-1']);
});
