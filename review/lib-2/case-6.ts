// Another writer sends one heartbeat for each worker's address, with a service that no
// configuration names. Then clients send requests of all kinds.
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {drawId, send} from './client.js';
import {configure, createConfiguration, type Route} from './operator.js';
import {runCase} from './run-case.js';
import type {Machine} from './system.js';
import {
	createHead,
	readId,
	sendForeignHeartbeat,
	sendStream,
	startWorker,
	type Worker,
} from './worker.js';

const ENTRIES = 3;
const ROUTES: readonly Route[] = [
	{name: 'brief', kind: 'stream', service: 'model'},
	{name: 'grant', kind: 'non_idempotent', service: 'desk'},
	{name: 'look', kind: 'idempotent', service: 'desk'},
];
const SERVICES = ['model', 'model', 'model', 'desk', 'desk', 'desk', 'desk'];
const FIRST_WORKER_HOST = 41;
/** Longer than `contact-ms`, and than machines take to tell each other of workers. */
const SETTLE_MS = 4000;
const TRAFFIC_MS = 20_000;
const INTERVAL_MS = 250;
const DEADLINE_MS = 5000;
const WORK_MS = 40;
const STREAM = {events: 20, lastsMs: 400};

await runCase(ENTRIES, async ({record, system, hasTrouble, addCleanup}) => {
	const {controls, entries, block} = system;
	await configure(record, controls, createConfiguration(1, ROUTES));
	const workers: Worker[] = await Promise.all(
		SERVICES.map(async (service, i) =>
			startWorker({
				record,
				controls,
				host: `${block}.${FIRST_WORKER_HOST + i}`,
				id: `${service}-${i + 1}`,
				service,
				run(req, res) {
					record(`${service}-${i + 1} runs ${readId(req)}`);
					if (service === 'model') {
						sendStream(req, res, STREAM);
						return;
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
	await system.awaitReady();
	await sleep(SETTLE_MS);
	if (hasTrouble) {
		await Promise.all(
			workers.map(async ({id, address}) =>
				sendForeignHeartbeat(record, controls[0]!, `agent-${id}`, {
					service: 'node-agent',
					address,
					zone: 'a',
					version: 'v1',
					slots: 1,
					state: 'ready',
					'cold-left-ms': 0,
					sequence: 1,
				}),
			),
		);
		await sleep(SETTLE_MS);
	}

	const endAt = performance.now() + TRAFFIC_MS;
	const attempts: Array<Promise<boolean>> = [];
	const attempt = async (
		entry: Machine,
		{name, kind}: Route,
		agent: Agent,
	): Promise<boolean> => {
		const id = drawId();
		const path = `/${name}/x`;
		const answer = await send(entry, {
			id,
			kind,
			path,
			deadlineMs: DEADLINE_MS,
			agent,
		});
		record(`${id} ${kind} at ${entry.name}: ${answer.status} ${answer.reason}`);
		return answer.status === 200 && answer.isWhole;
	};

	const sendAll = async (entry: Machine): Promise<void> => {
		const agent = new Agent({keepAlive: true});
		addCleanup(() => {
			agent.destroy();
		});
		while (performance.now() < endAt) {
			ROUTES.forEach((route) => {
				attempts.push(attempt(entry, route, agent));
			});
			// eslint-disable-next-line no-await-in-loop -- paces the requests
			await sleep(INTERVAL_MS);
		}
	};

	await Promise.all(entries.map(sendAll));
	const results = await Promise.all(attempts);
	const served = results.filter(Boolean).length;
	return {
		isBroken: served === 0,
		counted: `${served} of ${results.length} requests were served`,
	};
});
