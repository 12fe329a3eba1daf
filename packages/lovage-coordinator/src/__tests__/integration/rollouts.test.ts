import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import type {Coordinator, RolloutReadOutcome} from '../../index.js';
import {
	type CoordinatorOptions,
	findFreePort,
	startCoordinator,
	stopCoordinator,
} from './test-coordinator.js';

const ROLLOUT = {
	exposeShare: 0.1,
	exposeSlack: 50,
	rollbackMs: 5000,
	contactMs: 4000,
	ackMs: 5000,
};
const ORDER = {service: 's', to: 'v2', durationMs: 600_000};
const POLL_MS = 50;
/** Time in which an instance becomes a voter. */
const JOIN_MS = 2000;

const folders: string[] = [];
const running = new Set<Coordinator>();

async function start(options: CoordinatorOptions): Promise<Coordinator> {
	const coordinator = await startCoordinator({...options, rollout: ROLLOUT});
	running.add(coordinator);
	return coordinator;
}

async function stop(coordinator: Coordinator): Promise<void> {
	running.delete(coordinator);
	await stopCoordinator(coordinator);
}

afterEach(async () => {
	await Promise.all([...running].map(stop));
	await Promise.all(
		folders.splice(0).map(async (folder) => rm(folder, {recursive: true})),
	);
});

async function prepare(
	count: number,
	tolerated: number,
): Promise<readonly CoordinatorOptions[]> {
	const ports = await Promise.all(Array.from({length: count}, findFreePort));
	return Promise.all(
		ports.map(async (port, i) => {
			const folder = await mkdtemp(path.join(tmpdir(), 'lovage-rollouts-'));
			folders.push(folder);
			return {
				name: `control-${i}`,
				port,
				folder,
				seeds: ports.map((one) => `127.0.0.1:${one}`),
				isFirstStart: true,
				tolerated,
			};
		}),
	);
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
	if (!(await condition())) {
		await sleep(POLL_MS);
		await waitUntil(condition);
	}
}

async function order(coordinator: Coordinator): Promise<void> {
	await waitUntil(
		async () => (await coordinator.rollouts!.order(ORDER)) === 'acknowledged',
	);
}

async function read(coordinator: Coordinator): Promise<RolloutReadOutcome> {
	let outcome: RolloutReadOutcome = {kind: 'unavailable'};
	await waitUntil(async () => {
		outcome = await coordinator.rollouts!.read('s');
		return outcome.kind !== 'unavailable';
	});
	return outcome;
}

/** Restarts an instance on an empty disk, and waits until it votes again. */
async function loseDisk(
	group: Coordinator[],
	starts: readonly CoordinatorOptions[],
	lost: number,
): Promise<void> {
	await stop(group[lost]!);
	await rm(starts[lost]!.folder, {recursive: true});
	group[lost] = await start({...starts[lost]!, isFirstStart: false});
	await read(group[lost]);
	await sleep(JOIN_MS);
}

const RUNNING = {kind: 'found', order: {to: 'v2', stage: 'running'}};

it('acknowledges an order at any instance, and a repeat without a change', async () => {
	const starts = await prepare(3, 1);
	const group = await Promise.all(starts.map(start));
	await order(group[0]!);
	await order(group[1]!);
	expect(await read(group[2]!)).toEqual(RUNNING);
	expect(await group[1]!.rollouts!.order({...ORDER, to: 'v3'})).toBe(
		'conflicting',
	);
	expect(await group[2]!.rollouts!.read('other')).toEqual({kind: 'none'});
});

it('keeps an acknowledged order when two of five disks are lost at once and all restart', async () => {
	const starts = await prepare(5, 2);
	const group = await Promise.all(starts.map(start));
	await order(group[4]!);
	await Promise.all(group.map(stop));
	await Promise.all(
		starts.slice(0, 2).map(async ({folder}) => rm(folder, {recursive: true})),
	);
	const restarted = await Promise.all(
		starts.map(async (options) => start({...options, isFirstStart: false})),
	);
	expect(await read(restarted[0]!)).toEqual(RUNNING);
	expect(await read(restarted[4]!)).toEqual(RUNNING);
});

it('keeps an acknowledged order when the disks of two of three instances are lost one after the other', async () => {
	const starts = await prepare(3, 1);
	const group = await Promise.all(starts.map(start));
	await order(group[0]!);
	await loseDisk(group, starts, 0);
	await loseDisk(group, starts, 1);
	expect(await read(group[0]!)).toEqual(RUNNING);
	expect(await read(group[2]!)).toEqual(RUNNING);
});
