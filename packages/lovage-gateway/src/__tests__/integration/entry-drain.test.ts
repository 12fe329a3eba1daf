import {setTimeout as sleep} from 'node:timers/promises';
import {createJsonServer} from '@lovagevalve/runtime';
import type {ControlReport} from '@lovagevalve/dispatch';
import {ok} from 'neverthrow';
import {afterEach, describe, expect, it} from 'vitest';
import {createEntry} from '../../entry.js';
import {
	call,
	configuration,
	formatEvent,
	listen,
	silentMetrics,
	silentLogger,
	startBackend,
	testCodec,
} from './harness.js';

const ADDRESS_LIFETIME_MS = 300;
const STREAM_DURATION_MS = 800;
const cleanups: Array<() => unknown> = [];

afterEach(async () => {
	await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

/** Starts a fake control instance that reports one backend server. */
async function startControl(backendPort: number): Promise<string> {
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
		overview: {serving: [], loads: {}, retries: {}},
		convicted: [],
	};
	const server = createJsonServer(
		async ({path}) =>
			path === '/report'
				? {status: 200, body: report}
				: {status: 200, body: {text: 'one'}},
		() => undefined,
	);
	cleanups.push(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${await listen(server)}`;
}

describe('a draining entry', () => {
	// Callers that still use the address of an idle, draining entry send requests to it.
	it('finishes a request that arrives after an idle period', async () => {
		const backend = await startBackend((req, res) => {
			res.writeHead(200, {'Request-Id': req.headers['request-id']});
			res.write(formatEvent(1));
			setTimeout(() => {
				res.end(formatEvent(2));
			}, STREAM_DURATION_MS);
		});
		cleanups.push(() => backend.server.close());
		const control = await startControl(backend.port);
		const entry = createEntry(
			{
				name: 'entry',
				address: '127.0.0.1:1',
				dataCentre: 'a',
				readSeeds: () => [control],
				registrationIntervalMs: 60_000,
				retryBudget: {windowMs: 10_000, ratio: 1, extra: 10},
				gracePeriodMs: 5000,
				addressLifetimeMs: ADDRESS_LIFETIME_MS,
			},
			{
				clock: {now: () => performance.now(), wall: () => Date.now()},
				log: silentLogger,
				metrics: silentMetrics,
				codec: testCodec,
				random: () => 0,
				decodeConfiguration: () => ok(configuration),
			},
		);
		const port = await listen(entry.gateway.server);
		while (!entry.isReady()) {
			// eslint-disable-next-line no-await-in-loop -- polls until the configuration is applied
			await sleep(20);
		}

		let isDrained = false;
		const drained = (async () => {
			await entry.drain();
			isDrained = true;
		})();
		await sleep(ADDRESS_LIFETIME_MS / 3);
		const response = await call(port, '/stream/1', {'wait-ms': '3000'});
		expect(response).toMatchObject({
			body: formatEvent(1) + formatEvent(2),
			isWhole: true,
		});
		expect(isDrained).toBe(false);
		await drained;
	});
});
