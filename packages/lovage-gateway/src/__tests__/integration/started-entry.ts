import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createJsonServer} from '@lovagevalve/runtime';
import type {ControlReport} from '@lovagevalve/dispatch';
import type {Configuration} from '@lovagevalve/routing';
import {ok} from 'neverthrow';
import {createEntry, type Entry} from '../../entry.js';
import {
	listen,
	silentLogger,
	silentMetrics,
	testCodec,
	createTestBuffers,
} from './harness.js';

type Cleanups = Array<() => unknown>;

/** Starts a fake control instance that reports one backend server. */
async function startControl(
	backendPort: number,
	cleanups: Cleanups,
): Promise<string> {
	const report: ControlReport = {
		version: 1,
		controls: [],
		entries: 1,
		known: {epoch: 1, revision: 1},
		backends: [
			{
				id: 'e-0',
				service: 's',
				address: `127.0.0.1:${backendPort}`,
				dataCentre: 'a',
				state: 'ready',
				slots: 8,
				bornAt: 1,
				sequence: 1,
				ageMs: 0,
			},
		],
		agesMs: {},
		overview: {serving: ['127.0.0.1:2'], loads: {}, retries: {}},
		convicted: [],
	};
	const server = createJsonServer({
		handler: async ({path}) =>
			path === '/report'
				? {status: 200, body: report}
				: {status: 200, body: {text: 'one'}},
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

/** Starts an entry before one backend server and waits until it serves. */
export async function startEntry(
	backend: Readonly<{server: Server; port: number}>,
	cleanups: Cleanups,
	settings: Readonly<{
		configuration: Configuration;
		gracePeriodMs: number;
		addressLifetimeMs: number;
	}>,
): Promise<Readonly<{entry: Entry; port: number}>> {
	cleanups.push(() => backend.server.close());
	const control = await startControl(backend.port, cleanups);
	const entry = createEntry(
		{
			name: 'entry',
			address: '127.0.0.1:1',
			dataCentre: 'a',
			readSeeds: () => [control],
			registrationIntervalMs: 60_000,
			retryBudget: {windowMs: 10_000, ratio: 1, extra: 10},
			gracePeriodMs: settings.gracePeriodMs,
			addressLifetimeMs: settings.addressLifetimeMs,
		},
		{
			clock: {now: () => performance.now(), wall: () => Date.now()},
			log: silentLogger,
			metrics: silentMetrics,
			buffers: createTestBuffers(),
			codec: testCodec,
			random: () => 0,
			decodeConfiguration: () => ok(settings.configuration),
		},
	);
	const port = await listen(entry.gateway.server);
	while (!entry.isReady()) {
		// eslint-disable-next-line no-await-in-loop -- polls until the configuration is applied
		await sleep(20);
	}

	return {entry, port};
}
