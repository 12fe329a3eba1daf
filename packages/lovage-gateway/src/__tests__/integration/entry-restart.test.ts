import {setTimeout as sleep} from 'node:timers/promises';
import {createJsonServer} from '@lovagevalve/runtime';
import type {AgedRecord, ControlReport} from '@lovagevalve/dispatch';
import {ok} from 'neverthrow';
import {expect, it} from 'vitest';
import {createEntry, type Entry} from '../../entry.js';
import {
	call,
	configuration,
	createCleanups,
	listen,
	silentLogger,
	silentMetrics,
	startBackend,
	testCodec,
	createTestBuffers,
} from './harness.js';

const cleanups = createCleanups();

type Control = Readonly<{
	version: number;
	backends: readonly AgedRecord[];
	delayMs: number;
}>;

/** Starts a fake control instance that answers with a delay. */
async function startControl(control: Control): Promise<string> {
	const {version, backends, delayMs} = control;
	const report: ControlReport = {
		version,
		controls: [],
		entries: 1,
		known: {epoch: version, revision: 1},
		backends,
		agesMs: {},
		overview: {serving: [], loads: {}, retries: {}},
		convicted: [],
	};
	const server = createJsonServer({
		async handler({path}) {
			await sleep(delayMs);
			return {
				status: 200,
				body: path === '/report' ? report : {text: String(version)},
			};
		},
		onError: () => undefined,
		buffers: createTestBuffers(),
		source: 'instances',
	});
	cleanups.push(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${await listen(server)}`;
}

async function restartEntry(
	controls: readonly string[],
	applied: number[],
): Promise<Readonly<{entry: Entry; port: number}>> {
	const entry = createEntry(
		{
			name: 'entry',
			address: '127.0.0.1:1',
			dataCentre: 'a',
			readSeeds: () => controls,
			registrationIntervalMs: 60_000,
			retryBudget: {windowMs: 10_000, ratio: 1, extra: 10},
			gracePeriodMs: 500,
			addressLifetimeMs: 0,
		},
		{
			clock: {now: () => performance.now(), wall: () => Date.now()},
			log: silentLogger,
			metrics: silentMetrics,
			buffers: createTestBuffers(),
			codec: testCodec,
			random: () => 0,
			decodeConfiguration(text) {
				applied.push(Number(text));
				return ok({...configuration, version: Number(text)});
			},
		},
	);
	cleanups.push(async () => entry.drain());
	const port = await listen(entry.gateway.server);
	const deadline = performance.now() + 3000;
	while (!entry.isReady() && performance.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop -- polls until the configuration is applied
		await sleep(10);
	}

	return {entry, port};
}

// A key that was withdrawn by version 2 must not be accepted again because the
// first control instance that answers still has version 1.
it('a restarted entry takes the newest configuration of the control instances', async () => {
	const behind = await startControl({version: 1, backends: [], delayMs: 0});
	const current = await startControl({version: 2, backends: [], delayMs: 120});
	const applied: number[] = [];
	await restartEntry([behind, current], applied);
	expect(applied).toEqual([2]);
});

it('a restarted entry does not wait for control instances that do not answer', async () => {
	const alive = await startControl({version: 1, backends: [], delayMs: 0});
	const silent = await startControl({
		version: 2,
		backends: [],
		delayMs: 60_000,
	});
	const applied: number[] = [];
	const startedAt = performance.now();
	const {entry} = await restartEntry([alive, silent, '127.0.0.1:1'], applied);
	expect(entry.isReady()).toBe(true);
	expect(applied).toEqual([1]);
	expect(performance.now() - startedAt).toBeLessThan(1500);
});

// A control instance that has restarted knows a backend server that left only from
// a delayed registration; the others know that it is gone.
it('an entry does not use a backend server again that left, after a control instance restarted', async () => {
	let arrivals = 0;
	const backend = await startBackend((req, res) => {
		arrivals += 1;
		res.writeHead(200, {'Request-Id': req.headers['request-id']}).end();
	});
	cleanups.push(() => backend.server.close());
	const record: AgedRecord = {
		id: 'e-0',
		service: 's',
		address: `127.0.0.1:${backend.port}`,
		dataCentre: 'a',
		state: 'ready',
		slots: 8,
		bornAt: 1,
		sequence: 9,
		ageMs: 0,
	};
	const gone = await startControl({
		version: 1,
		backends: [{...record, state: 'gone'}],
		delayMs: 0,
	});
	const restarted = await startControl({
		version: 1,
		backends: [record],
		delayMs: 60,
	});
	const {port} = await restartEntry([gone, restarted], []);
	await sleep(800);
	expect(await call(port, '/plain/1')).toMatchObject({status: 503});
	expect(arrivals).toBe(0);
});
