import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendRecord} from '@lovagevalve/dispatch';
import {afterEach, describe, expect, it} from 'vitest';
import type {Coordinator} from '../../index.js';
import {
	clock,
	type CoordinatorOptions,
	findFreePort,
	startCoordinator,
	stopCoordinator,
} from './test-coordinator.js';

const folders: string[] = [];
const running = new Set<Coordinator>();

afterEach(async () => {
	await Promise.all([...running].map(stop));
	await Promise.all(
		folders.splice(0).map(async (folder) => rm(folder, {recursive: true})),
	);
});

async function createFolder(): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'lovage-group-'));
	folders.push(folder);
	return folder;
}

async function start(options: CoordinatorOptions): Promise<Coordinator> {
	const coordinator = await startCoordinator(options);
	running.add(coordinator);
	return coordinator;
}

async function stop(coordinator: Coordinator): Promise<void> {
	running.delete(coordinator);
	await stopCoordinator(coordinator);
}

const POLL_INTERVAL_MS = 50;
/** Time in which an instance becomes a voter. */
const JOIN_MS = 2000;
const RECOVERY_MS = 12_000;

/** Resolves with whether a condition holds before the time limit. */
async function isReached(
	condition: () => Promise<boolean>,
	limitMs: number,
): Promise<boolean> {
	const endAt = performance.now() + limitMs;
	return new Promise((resolve) => {
		const check = async (): Promise<void> => {
			if (await condition()) {
				resolve(true);
			} else if (performance.now() >= endAt) {
				resolve(false);
			} else {
				setTimeout(check, POLL_INTERVAL_MS);
			}
		};

		void check();
	});
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
	if (await condition()) {
		return;
	}

	await new Promise((resolve) => {
		setTimeout(resolve, POLL_INTERVAL_MS);
	});
	await waitUntil(condition);
}

async function put(coordinator: Coordinator, version: number): Promise<void> {
	await waitUntil(async () =>
		coordinator.putConfiguration({version, text: `v${version}`}),
	);
}

async function readVersion(coordinator: Coordinator): Promise<number> {
	const outcome = await coordinator.readConfiguration();
	return outcome.kind === 'found' ? outcome.configuration.version : 0;
}

async function startGroup(): Promise<readonly CoordinatorOptions[]> {
	const ports = await Promise.all([0, 1, 2].map(findFreePort));
	const seeds = ports.map((port) => `127.0.0.1:${port}`);
	return Promise.all(
		ports.map(async (port, i) => ({
			name: `control-${i}`,
			port,
			folder: await createFolder(),
			seeds,
			isFirstStart: true,
		})),
	);
}

describe('a group of control instances', () => {
	it('bootstraps once, and commits and reads at any instance', async () => {
		const starts = await startGroup();
		const group = await Promise.all(starts.map(start));
		await put(group[0]!, 7);
		await waitUntil(async () => (await readVersion(group[1]!)) === 7);
		await waitUntil(async () => (await readVersion(group[2]!)) === 7);
		// A lower version than the committed one is acknowledged and changes nothing.
		await put(group[2]!, 5);
		expect(await readVersion(group[2]!)).toBe(7);
	});

	it('keeps acknowledged configurations when one instance loses its disk and all restart', async () => {
		const starts = await startGroup();
		const group = await Promise.all(starts.map(start));
		await put(group[0]!, 7);
		await Promise.all(group.map(stop));
		const folder = await createFolder();
		const again = await Promise.all(
			starts.map(async (options, i) =>
				start({
					...options,
					isFirstStart: false,
					folder: i === 0 ? folder : options.folder,
				}),
			),
		);
		await waitUntil(async () => (await readVersion(again[0]!)) === 7);
		// The instance with the new disk votes again, so that another one may fail.
		await put(again[1]!, 8);
		await waitUntil(async () => (await readVersion(again[0]!)) === 8);
	});

	// A departure that only one instance knew was acknowledged, and lost with it.
	it('acknowledges a departure only while another instance stores it too', async () => {
		const starts = await startGroup();
		const group = await Promise.all(starts.map(start));
		const record: BackendRecord = {
			id: 'e-1',
			service: 'model',
			address: '127.0.0.1:9',
			dataCentre: 'a',
			state: 'ready',
			slots: 4,
			bornAt: 1000,
			sequence: 1,
			heardAt: clock.now(),
		};
		const gone: BackendRecord = {...record, state: 'gone', sequence: 2};
		expect(await group[0]!.register(record)).toBe('acknowledged');
		await Promise.all(group.slice(1).map(stop));
		expect(await group[0]!.register(gone)).toBe('not-stored');
		// It is no more acknowledged for being sent again.
		expect(await group[0]!.register(gone)).toBe('not-stored');
		await start({...starts[1]!, isFirstStart: false});
		expect(await group[0]!.register(gone)).toBe('acknowledged');
	});

	// The instance that stopped stayed a voter, so that three of four had to answer.
	it('survives the loss of a disk right after a replaced instance has stopped', async () => {
		const starts = await startGroup();
		const group = await Promise.all(starts.map(start));
		await put(group[0]!, 1);
		const successor = await start({
			name: 'control-3',
			port: await findFreePort(),
			folder: await createFolder(),
			seeds: starts[0]!.seeds,
			isFirstStart: false,
		});
		await sleep(JOIN_MS);
		await stop(group[0]!);
		await put(group[1]!, 2);
		await stop(group[1]!);
		const returned = await start({
			...starts[1]!,
			folder: await createFolder(),
			isFirstStart: false,
		});
		const isRead = async (): Promise<boolean> =>
			(await readVersion(returned)) === 2 &&
			(await readVersion(successor)) === 2;
		expect(await isReached(isRead, RECOVERY_MS)).toBe(true);
	});

	it('rejects reads and proposals without a quorum', async () => {
		const starts = await startGroup();
		const group = await Promise.all(starts.map(start));
		await put(group[0]!, 7);
		await waitUntil(async () => (await readVersion(group[0]!)) === 7);
		await Promise.all(group.slice(1).map(stop));
		await waitUntil(async () => {
			const {kind} = await group[0]!.readConfiguration();
			return kind === 'unavailable';
		});
		const isCommitted = await group[0]!.putConfiguration({
			version: 9,
			text: 'v9',
		});
		expect(isCommitted).toBe(false);
	});
});
