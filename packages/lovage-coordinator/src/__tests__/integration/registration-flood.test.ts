import {mkdtemp, rm} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendRecord} from '@lovagevalve/dispatch';
import {createBufferBudget, type PrometheusMetrics} from '@lovagevalve/runtime';
import {afterAll, beforeAll, expect, it} from 'vitest';
import {createCoordinator, type Coordinator} from '../../index.js';

// A writer that registered ever new ids filled the memory of all control instances.

const noop = (): undefined => undefined;
const log = {debug: noop, info: noop, warn: noop, error: noop};
const clock = {now: () => performance.now(), wall: () => Date.now()};
/** More than the bound of registrations. */
const FLOOD = 4200;
const MAX = 4096;
/** What an instance of 178 MB may buffer. */
const CAPACITY_BYTES = 25_000_000;
const MAX_NAME_LENGTH = 256;
const POLL_INTERVAL_MS = 100;
const LIMIT_MS = 30_000;

type Instance = Readonly<{
	coordinator: Coordinator;
	countBackends: () => number;
}>;

const folders: string[] = [];
const instances: Instance[] = [];

async function findFreePort(): Promise<number> {
	const server = createServer();
	return new Promise((resolve) => {
		server.listen(0, '127.0.0.1', () => {
			const {port} = server.address() as AddressInfo;
			server.close(() => {
				resolve(port);
			});
		});
	});
}

async function start(
	port: number,
	seeds: readonly string[],
): Promise<Instance> {
	const gauges = new Map<string, () => number>();
	const metrics = {
		count: noop,
		time: noop,
		registerGauge(name: string, read: () => number) {
			gauges.set(name, read);
		},
		serve: noop,
	} as unknown as PrometheusMetrics;
	const dataFolder = await mkdtemp(path.join(tmpdir(), 'lovage-flood-'));
	folders.push(dataFolder);
	const coordinator = createCoordinator(
		{
			name: `control-${port}`,
			address: `127.0.0.1:${port}`,
			dataFolder,
			isFirstStart: true,
			registrationIntervalMs: 1000,
			readSeeds: () => seeds,
		},
		{
			clock,
			log,
			metrics,
			buffers: createBufferBudget({
				capacityBytes: CAPACITY_BYTES,
				log,
				metrics,
			}),
			random: Math.random,
		},
	);
	await new Promise<void>((resolve) => {
		coordinator.server.listen(port, '127.0.0.1', resolve);
	});
	return {coordinator, countBackends: () => gauges.get('backends')!()};
}

/** The longest record that a backend server may send in ASCII. */
function createRecord(i: number): BackendRecord {
	return {
		id: String(i).padStart(MAX_NAME_LENGTH, 'i'),
		service: 'service'.padStart(MAX_NAME_LENGTH, 's'),
		address: `10.0.${Math.floor(i / 256)}.${i % 256}:65535`,
		dataCentre: 'centre'.padStart(MAX_NAME_LENGTH, 'c'),
		state: 'ready',
		slots: 65_536,
		softwareVersion: 'v'.repeat(128),
		bornAt: Date.now(),
		sequence: 1,
		heardAt: clock.now(),
	};
}

beforeAll(async () => {
	const ports = await Promise.all([findFreePort(), findFreePort()]);
	const seeds = ports.map((port) => `127.0.0.1:${port}`);
	instances.push(
		...(await Promise.all(ports.map(async (port) => start(port, seeds)))),
	);
});

afterAll(async () => {
	await Promise.all(
		instances.map(async ({coordinator}) => {
			coordinator.server.closeAllConnections();
			coordinator.server.close();
			await coordinator.stop();
		}),
	);
	await Promise.all(
		folders.map(async (folder) => rm(folder, {recursive: true})),
	);
});

it('holds a bounded number of registrations, the same at each instance', async () => {
	const [first, second] = instances as [Instance, Instance];
	const outcomes: string[] = [];
	for (let i = 0; i < FLOOD; i += 1) {
		// eslint-disable-next-line no-await-in-loop -- one caller
		outcomes.push(String(await first.coordinator.register(createRecord(i))));
	}

	expect(first.countBackends()).toBe(MAX);
	expect(outcomes.filter((outcome) => outcome === 'no-room')).toHaveLength(
		FLOOD - MAX,
	);
	const endAt = clock.now() + LIMIT_MS;
	while (second.countBackends() < MAX && clock.now() < endAt) {
		// eslint-disable-next-line no-await-in-loop -- polls
		await sleep(POLL_INTERVAL_MS);
	}

	expect(second.countBackends()).toBe(MAX);
	// A heartbeat may go to any instance.
	expect(
		await second.coordinator.register({...createRecord(0), sequence: 2}),
	).toBe('acknowledged');
	expect(await second.coordinator.register(createRecord(FLOOD))).toBe(
		'no-room',
	);
});
