import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendRecord} from '@lovagevalve/dispatch';
import {afterAll, beforeAll, expect, it} from 'vitest';
import type {Coordinator} from '../../index.js';
import {
	clock,
	findFreePort,
	startCoordinator,
	stopCoordinator,
} from './test-coordinator.js';

// A writer that registered ever new ids filled the memory of all control instances.

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

async function start(
	port: number,
	seeds: readonly string[],
): Promise<Instance> {
	const gauges = new Map<string, () => number>();
	const folder = await mkdtemp(path.join(tmpdir(), 'lovage-flood-'));
	folders.push(folder);
	const coordinator = await startCoordinator({
		name: `control-${port}`,
		port,
		folder,
		seeds,
		isFirstStart: true,
		capacityBytes: CAPACITY_BYTES,
		registerGauge(name: string, read: () => number) {
			gauges.set(name, read);
		},
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
		instances.map(async ({coordinator}) => stopCoordinator(coordinator)),
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
