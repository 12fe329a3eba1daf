/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// A heartbeat of another writer, whose address is none; then the engines of a zone crash.
import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '../lib/client.mjs';
import {createConfiguration} from '../lib/configuration.mjs';
import {call, HAS_TROUBLE, putConfiguration, runCase} from '../lib/system.mjs';
import {startWorker} from '../lib/worker.mjs';

const ZONES = ['bne-a', 'bne-b', 'syd-a', 'syd-b'];
const ENGINES = 8;
const DESKS = 4;
const FRONTS = 4;
const STREAMS_PER_FRONT = 10;
const LOOKUPS_PER_FRONT = 5;
/** The rule allows three. */
const ALLOWED = 3;
const HEARTBEAT_AT_MS = 5000;
/** Time from the heartbeat of the other writer until the engines of a zone crash. */
const CRASH_AFTER_MS = 300;
const TRAFFIC_MS = 12_000;

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
	const patienceMs = 10_000;
	if (
		!(await putConfiguration(
			record,
			controls,
			createConfiguration(1),
			patienceMs,
		))
	) {
		throw new Error('the first configuration was not acknowledged');
	}

	const runs = new Map();
	const start = async (index, options) =>
		startWorker({
			record,
			controls,
			zone: ZONES[index % ZONES.length],
			onRun({requestId, worker}) {
				runs.set(requestId, worker);
			},
			...options,
		});
	const engines = await Promise.all(
		Array.from({length: ENGINES}, async (_, i) =>
			start(i, {
				host: system.host(i + 21),
				id: `m-${i}`,
				service: 'model',
				slots: 96,
				events: 100,
				eventMs: 30,
			}),
		),
	);
	await Promise.all(
		Array.from({length: DESKS}, async (_, i) =>
			start(i, {
				host: system.host(i + 31),
				id: `d-${i}`,
				service: 'desk',
				slots: 6,
				workMs: 150,
			}),
		),
	);
	await sleep(2500);

	const seen = [];
	const endsAt = performance.now() + TRAFFIC_MS;
	const sendOften = async (front, request) => {
		const client = createClient(front.front);
		while (performance.now() < endsAt) {
			/* eslint-disable no-await-in-loop -- one request after the other on a connection */
			const result = await client.send(request);
			seen.push({...result, front: front.name});
			await sleep(result.outcome === 'answered' ? 0 : 300);
			/* eslint-enable no-await-in-loop */
		}

		client.close();
	};

	const stream = {
		method: 'POST',
		path: '/stream/brief',
		body: 'x'.repeat(5000),
		deadlineMs: 25_000,
		headers: {'X-Model': 'm', 'X-Token-Usage': '5000,800'},
	};
	const lookup = {path: '/lookup/song', deadlineMs: 1000};
	const traffic = fronts.flatMap((front) => [
		...Array.from({length: STREAMS_PER_FRONT}, async () =>
			sendOften(front, stream),
		),
		...Array.from({length: LOOKUPS_PER_FRONT}, async () =>
			sendOften(front, lookup),
		),
	]);

	await sleep(HEARTBEAT_AT_MS);
	if (HAS_TROUBLE) {
		const answer = await call({
			address: controls[0].control,
			method: 'PUT',
			path: '/v1/instances/x-1',
			headers: {'Content-Type': 'application/json'},
			body: JSON.stringify({
				service: 'model',
				address: `${system.host(99)}:80800`,
				zone: 'other',
				version: 'v1',
				slots: 96,
				state: 'ready',
				sequence: 1,
				born: Date.now(),
			}),
		});
		record(
			`heartbeat of another writer, address ${system.host(99)}:80800: ${answer?.status ?? 'no answer'}`,
		);
	}

	await sleep(CRASH_AFTER_MS);
	const crashed = engines.filter((_, i) => i % ZONES.length === 0);
	const crashedIds = crashed.map(({id}) => id);
	record(`the engines of ${ZONES[0]} crash: ${crashedIds.join(', ')}`);
	crashed.forEach((engine) => {
		engine.crash();
	});
	await Promise.all(traffic);

	const lost = seen.filter(
		({requestId, outcome, isKept}) =>
			isKept &&
			outcome.startsWith('closed') &&
			runs.has(requestId) &&
			!crashedIds.includes(runs.get(requestId)),
	);
	lost.forEach(({requestId, path, front, outcome, status}) => {
		record(
			`${path} ${requestId} ran at ${runs.get(requestId)}; ${front} ended its kept connection: ${outcome}, ${status === undefined ? 'no answer' : 'in the middle of the answer'}`,
		);
	});
	const counts = {};
	seen.forEach(({path, outcome, status}) => {
		const key = `${path} ${outcome} ${status ?? ''}`;
		counts[key] = (counts[key] ?? 0) + 1;
	});
	record(`requests by outcome: ${JSON.stringify(counts)}`);
	const ended = fronts.filter((front) => !front.isRunning());
	const unanswered = lost.filter(({status}) => status === undefined).length;
	const isBroken = unanswered > ALLOWED;
	return {
		isBroken,
		summary: `${isBroken ? 'LOST broken' : 'held'}: ${lost.length} requests at sound workers lost their kept connection, ${unanswered} of them without any answer; ended by themselves: ${ended.map(({name}) => name).join(', ') || 'none'}`,
	};
});
