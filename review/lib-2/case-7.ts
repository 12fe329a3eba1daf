// Another writer sends one heartbeat under the id of a worker, without two of its fields.
// Then the worker says that it is draining.
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {drawId, send} from './client.js';
import {configure, createConfiguration} from './operator.js';
import {runCase} from './run-case.js';
import {DRAIN_TIMEOUT_MS, type Machine} from './system.js';
import {
	createHead,
	readId,
	sendForeignHeartbeat,
	startWorker,
	type Worker,
} from './worker.js';

const ENTRIES = 3;
const WORKERS = 4;
const FIRST_WORKER_HOST = 41;
/** Longer than `contact-ms`, and than machines take to tell each other of workers. */
const SETTLE_MS = 4000;
const TRAFFIC_BEFORE_MS = 6000;
/** Time for which the worker goes on beyond the drain timeout; the pages allow many seconds. */
const SERVES_ON_MS = 5000;
const INTERVAL_MS = 50;
const DEADLINE_MS = 5000;
const WORK_MS = 40;

await runCase(ENTRIES, async ({record, system, hasTrouble, addCleanup}) => {
	const {controls, entries, block} = system;
	await configure(
		record,
		controls,
		createConfiguration(1, [
			{name: 'grant', kind: 'non_idempotent', service: 'desk'},
		]),
	);
	/** Requests that ran on the first worker. */
	const arrivals: string[] = [];
	const workers: Worker[] = await Promise.all(
		Array.from({length: WORKERS}, async (_, i) =>
			startWorker({
				record,
				controls,
				host: `${block}.${FIRST_WORKER_HOST + i}`,
				id: `desk-${i + 1}`,
				service: 'desk',
				run(req, res) {
					const id = readId(req);
					record(`desk-${i + 1} runs ${id}`);
					if (i === 0) {
						arrivals.push(id);
					}

					setTimeout(() => {
						res.writeHead(200, createHead(req, 'text/plain'));
						res.end('done');
					}, WORK_MS);
				},
			}),
		),
	);
	workers.forEach((worker) => {
		addCleanup(worker.stop);
	});
	const leaving = workers[0]!;
	await system.awaitReady();
	await sleep(SETTLE_MS);
	if (hasTrouble) {
		// Without "version" and "cold-left-ms".
		await sendForeignHeartbeat(record, controls[0]!, leaving.id, {
			service: 'desk',
			address: leaving.address,
			zone: 'a',
			slots: 6,
			state: 'ready',
			sequence: 1,
		});
	}

	/** Time at which the client sent each request. */
	const sentAt = new Map<string, number>();
	const attempts: Array<Promise<void>> = [];
	let endAt = Number.POSITIVE_INFINITY;
	const attempt = async (entry: Machine, agent: Agent): Promise<void> => {
		const id = drawId();
		sentAt.set(id, performance.now());
		const {status, reason} = await send(entry, {
			id,
			kind: 'non_idempotent',
			path: '/grant/x',
			deadlineMs: DEADLINE_MS,
			agent,
		});
		record(`${id} at ${entry.name}: ${status} ${reason}`);
	};

	const load = entries.map(async (entry) => {
		const agent = new Agent({keepAlive: true});
		addCleanup(() => {
			agent.destroy();
		});
		while (performance.now() < endAt) {
			attempts.push(attempt(entry, agent));
			// eslint-disable-next-line no-await-in-loop -- paces the requests
			await sleep(INTERVAL_MS);
		}
	});
	await sleep(TRAFFIC_BEFORE_MS);
	const acknowledgedAt = await leaving.drain();
	await sleep(DRAIN_TIMEOUT_MS + SERVES_ON_MS);
	endAt = performance.now();
	await Promise.all(load);
	await Promise.all(attempts);
	const late = arrivals
		.map((id) => ({id, afterMs: sentAt.get(id)! - acknowledgedAt}))
		.filter(({afterMs}) => afterMs > DRAIN_TIMEOUT_MS);
	late.forEach(({id, afterMs}) => {
		record(
			`${id} was sent ${Math.round(afterMs)} ms after the acknowledgement, and ran on ${leaving.id}`,
		);
	});
	return {
		isBroken: late.length > 0,
		counted: `${late.length} requests that were sent later than drain-timeout-ms after the acknowledgement ran on the worker`,
	};
});
