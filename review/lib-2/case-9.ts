// Crowds of clients with large heads and chunked bodies come to two of three entries,
// three times. The platform starts processes again that end by themselves.
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {drawId, send} from './client.js';
import {openCrowd} from './crowd.js';
import {configure, createConfiguration} from './operator.js';
import {runCase} from './run-case.js';
import type {Machine} from './system.js';
import {sendStream, startWorker} from './worker.js';

const ENTRIES = 3;
const WORKERS = 4;
const FIRST_WORKER_HOST = 41;
const SETTLE_MS = 4000;
/** Fewer than an entry may have with `max-fds` of 4,100: each request takes two. */
const CROWD = {clients: 1600, headBytes: 15_000, deadlineMs: 25_000};
const STREAM = {events: 15, lastsMs: 20_000};
const WAVES = 3;
/** Time from the ends of the bodies in which a wave is watched. */
const WATCH_MS = 13_000;
const POLL_MS = 100;
/** Time after which the platform starts a process again. */
const RESTART_MS = 500;
/** The rule: processes end by themselves three times, on two machines at least. */
const MIN_ENDS = 3;
const MIN_MACHINES = 2;
const ORDINARY = {
	kind: 'stream',
	path: '/brief/x',
	deadlineMs: 25_000,
} as const;

await runCase(ENTRIES, async ({record, system, hasTrouble, addCleanup}) => {
	const {controls, entries, block} = system;
	const targets = entries.slice(0, MIN_MACHINES);
	await configure(
		record,
		controls,
		createConfiguration(1, [{name: 'brief', kind: 'stream', service: 'model'}]),
	);
	let runs = 0;
	const workers = await Promise.all(
		Array.from({length: WORKERS}, async (_, i) =>
			startWorker({
				record,
				controls,
				host: `${block}.${FIRST_WORKER_HOST + i}`,
				id: `model-${i + 1}`,
				service: 'model',
				run(req, res) {
					runs += 1;
					sendStream(req, res, STREAM);
				},
			}),
		),
	);
	workers.forEach((worker) => {
		addCleanup(worker.stop);
	});
	await system.awaitReady();
	await sleep(SETTLE_MS);
	const ends = new Map<string, number>();

	/** Plays one wave at an entry; without the disruption, it is one client. */
	const playWave = async (entry: Machine, wave: number): Promise<void> => {
		const size = hasTrouble ? CROWD : {...CROWD, clients: 1};
		const crowd = await openCrowd(entry, size);
		record(
			`wave ${wave} at ${entry.name}: ${crowd.countOpen()} connections, each with a head of ${size.headBytes} bytes and a body without its end`,
		);
		crowd.endBodies();
		const endAt = performance.now() + WATCH_MS;
		while (entry.isRunning() && performance.now() < endAt) {
			// eslint-disable-next-line no-await-in-loop -- polls
			await sleep(POLL_MS);
		}

		record(
			`wave ${wave} at ${entry.name}: answers begun ${JSON.stringify(crowd.readStatuses())}, runs at all workers so far ${runs}, ${entry.isRunning() ? 'the process lives' : 'the process has ended by itself'}`,
		);
		crowd.leave();
		if (!entry.isRunning()) {
			ends.set(entry.name, (ends.get(entry.name) ?? 0) + 1);
			await sleep(RESTART_MS);
			entry.start();
		}
	};

	for (let wave = 1; wave <= WAVES; wave += 1) {
		/* eslint-disable no-await-in-loop -- one wave after the other */
		await Promise.all(targets.map(async (entry) => playWave(entry, wave)));
		await system.awaitReady();
		/* eslint-enable no-await-in-loop */
	}

	const answers = await Promise.all(
		entries.map(async (entry) =>
			send(entry, {...ORDINARY, id: drawId(), agent: new Agent()}),
		),
	);
	answers.forEach(({status, reason}, i) => {
		record(`one ordinary client at ${entries[i]!.name}: ${status} ${reason}`);
	});
	const machines = targets.filter(
		({name}) => (ends.get(name) ?? 0) >= MIN_ENDS,
	);
	const counted = targets
		.map(({name}) => `${name} ${ends.get(name) ?? 0} times`)
		.join(', ');
	return {
		isBroken: machines.length >= MIN_MACHINES,
		counted: `processes ended by themselves: ${counted}`,
	};
});
