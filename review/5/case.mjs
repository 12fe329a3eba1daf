/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// Three engines truncate one answer each; the answers are those to one stream.
import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '../lib/client.mjs';
import {createConfiguration} from '../lib/configuration.mjs';
import {HAS_TROUBLE, putConfiguration, runCase} from '../lib/system.mjs';
import {startWorker} from '../lib/worker.mjs';

const ZONES = ['bne-a', 'bne-b', 'syd-a', 'syd-b'];
const ENGINES = 6;
const FRONTS = 2;
const CLIENTS_PER_FRONT = 28;
const EVENTS = 30;
const EVENT_MS = 30;
const TRAFFIC_MS = 14_000;
const TARGET_AT_MS = 7000;
const TARGET_PATH = '/stream/target';
/** Events after which the first answer breaks off. */
const KEPT_EVENTS = 10;

const countEvents = (body) => [...body.matchAll(/^id: (\d+)$/gm)].length;

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

	const answers = new Map();
	const spoiled = [];
	/** The first answer to the target breaks off; the next two end properly with nothing new. */
	const chooseFault = ({path, after, worker}) => {
		answers.set(worker, (answers.get(worker) ?? 0) + 1);
		if (!HAS_TROUBLE || path !== TARGET_PATH || spoiled.length === 3) {
			return undefined;
		}

		const fault =
			spoiled.length === 0
				? {events: KEPT_EVENTS, breaksOff: true}
				: {events: 0, breaksOff: false};
		spoiled.push(worker);
		record(
			`${worker} truncates its answer to the target after ${fault.events} events behind event ${after}: ${fault.breaksOff ? 'reset' : 'proper end'}`,
		);
		return fault;
	};

	await Promise.all(
		Array.from({length: ENGINES}, async (_, i) =>
			startWorker({
				record,
				controls,
				host: system.host(i + 21),
				id: `m-${i}`,
				service: 'model',
				zone: ZONES[i % ZONES.length],
				slots: 96,
				events: EVENTS,
				eventMs: EVENT_MS,
				chooseFault,
			}),
		),
	);
	await sleep(2500);

	const stream = {
		method: 'POST',
		path: '/stream/brief',
		body: 'x'.repeat(5000),
		deadlineMs: 25_000,
		headers: {'X-Model': 'm', 'X-Token-Usage': '5000,240'},
	};
	const seen = [];
	const endsAt = performance.now() + TRAFFIC_MS;
	const traffic = fronts.flatMap((front) =>
		Array.from({length: CLIENTS_PER_FRONT}, async () => {
			const client = createClient(front.front);
			while (performance.now() < endsAt) {
				// eslint-disable-next-line no-await-in-loop -- one request after the other
				seen.push(await client.send(stream));
			}

			client.close();
		}),
	);

	await sleep(TARGET_AT_MS);
	const client = createClient(fronts[0].front);
	seen.push(await client.send({...stream, path: TARGET_PATH}));
	client.close();
	await Promise.all(traffic);

	const short = seen.filter(
		({status, outcome, body}) =>
			status === 200 && outcome === 'answered' && countEvents(body) < EVENTS,
	);
	short.forEach(({requestId, path, body}) => {
		record(
			`${path} ${requestId}: status 200, ended properly with ${countEvents(body)} of ${EVENTS} events`,
		);
	});
	record(
		`answers by engine: ${[...answers].map(([worker, count]) => `${worker} ${count}, truncated ${spoiled.filter((other) => other === worker).length}`).join('; ')}`,
	);
	const isBroken = short.length > 0;
	return {
		isBroken,
		summary: `${isBroken ? 'ORDER broken' : 'held'}: ${short.length} of ${seen.length} streams ended as complete before their last event; largest share of truncated answers of an engine ${Math.max(0, ...spoiled.map((worker) => 1 / answers.get(worker))).toFixed(3)}`,
	};
});
