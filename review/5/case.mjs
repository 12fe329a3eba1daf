/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// A worker says that it leaves; right after the acknowledgement the core is killed.
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '../lib/client.mjs';
import {createConfiguration} from '../lib/configuration.mjs';
import {
	BOUNDS,
	HAS_TROUBLE,
	putConfiguration,
	runCase,
} from '../lib/system.mjs';
import {startWorker} from '../lib/worker.mjs';

const ZONES = ['bne-a', 'bne-b', 'syd-a', 'syd-b'];
const DESKS = 4;
const FRONTS = 2;
const CLIENTS_PER_FRONT = 4;
const PAUSE_MS = 60;
const TRAFFIC_MS = 18_000;
const LEAVES_AT_MS = 2000;
/** Time from the acknowledgement until the core is killed. */
const KILL_AFTER_MS = Number(process.env.KILL_AFTER_MS ?? 0);
/** Time from the kill of the core until its processes are started again. */
const DOWN_MS = 600;
/** Time for which the worker goes on serving after the acknowledgement. */
const SERVES_MS = 12_000;

await runCase(import.meta.dirname, async (system, record) => {
	const controls = ZONES.slice(0, 3).map((zone, i) =>
		system.createControl(i + 1, zone),
	);
	const fronts = ZONES.slice(0, FRONTS).map((zone, i) =>
		system.createEntry(i + 11, zone),
	);
	controls.forEach((node) => {
		node.start({isFirstStart: true});
	});
	fronts.forEach((node) => {
		node.start();
	});
	const first = createConfiguration(1);
	if (!(await putConfiguration(record, controls, first, 10_000))) {
		throw new Error('the first configuration was not acknowledged');
	}

	const runs = [];
	const workers = await Promise.all(
		Array.from({length: DESKS}, async (_, i) =>
			startWorker({
				record,
				controls,
				host: system.host(i + 31),
				id: `d-${i}`,
				service: 'desk',
				zone: ZONES[i % ZONES.length],
				slots: 6,
				onRun(run) {
					runs.push(run);
				},
			}),
		),
	);
	await sleep(4000);

	const sentAt = new Map();
	const endsAt = performance.now() + TRAFFIC_MS;
	const traffic = fronts.flatMap((front) =>
		Array.from({length: CLIENTS_PER_FRONT}, async () => {
			const client = createClient(front.front);
			while (performance.now() < endsAt) {
				/* eslint-disable no-await-in-loop -- one request after the other on a connection */
				const result = await client.send({path: '/lookup/song'});
				sentAt.set(result.requestId, result.sentAt);
				await sleep(PAUSE_MS);
				/* eslint-enable no-await-in-loop */
			}

			client.close();
		}),
	);

	await sleep(LEAVES_AT_MS);
	const [leaving] = workers;
	const node = await leaving.leave();
	const acknowledgedAt = performance.now();
	if (node === undefined) {
		throw new Error('no node acknowledged that the worker leaves');
	}

	record(`DELETE of ${leaving.id} acknowledged by ${node.name}`);
	if (HAS_TROUBLE) {
		if (KILL_AFTER_MS > 0) {
			await sleep(KILL_AFTER_MS);
		}

		controls.forEach((control) => {
			control.signal('SIGKILL');
		});
		await Promise.all(controls.map(async (control) => control.awaitEnd()));
		await sleep(DOWN_MS);
		controls.forEach((control) => {
			control.start();
		});
	}

	const startedAt = performance.now();
	await sleep(Math.max(0, acknowledgedAt + SERVES_MS - performance.now()));
	record(`${leaving.id} ends`);
	leaving.crash();
	await Promise.all(traffic);

	// Machines are in touch again `contact-ms` after the last start of a core machine.
	const judgedFrom = Math.max(
		acknowledgedAt + BOUNDS['drain-timeout-ms'],
		startedAt + BOUNDS['contact-ms'],
	);
	const after = runs.filter(
		({worker, at}) => worker === leaving.id && at > acknowledgedAt,
	);
	after.forEach(({requestId, at}) => {
		const sent = sentAt.get(requestId);
		record(
			`${requestId}, sent ${sent === undefined ? '?' : ((sent - acknowledgedAt) / 1000).toFixed(3)} s after the acknowledgement, runs at ${leaving.id} after ${((at - acknowledgedAt) / 1000).toFixed(3)} s`,
		);
	});
	const late = after.filter(
		({requestId}) => (sentAt.get(requestId) ?? 0) > judgedFrom,
	);
	const isBroken = late.length > 0;
	return {
		isBroken,
		summary: `${isBroken ? 'DRAIN broken' : 'held'}: ${late.length} requests that were sent later than ${((judgedFrom - acknowledgedAt) / 1000).toFixed(1)} s after the acknowledgement reached ${leaving.id}`,
	};
});
