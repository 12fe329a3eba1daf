/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// A front node is partitioned from the core; then its process is killed.
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '../lib/client.mjs';
import {createConfiguration, HOST} from '../lib/configuration.mjs';
import {startRelay} from '../lib/relay.mjs';
import {call, HAS_TROUBLE, putConfiguration, runCase} from '../lib/system.mjs';
import {startWorker} from '../lib/worker.mjs';

const ZONES = ['bne-a', 'bne-b', 'syd-a', 'syd-b'];
const ENGINES = 8;
const FRONTS = 6;
const CLIENTS = 240;
/** Every third client keeps the addresses of front nodes three times as long. */
const LONG_KEEP = 3;
const EVENTS = 42;
const EVENT_MS = 60;
const TRAFFIC_MS = 14_000;
const CUT_AT_MS = 5000;
/** Time from the start of the partition until the process of the front node is killed. */
const KILLED_AFTER_MS = 2700;
/** `CUT=0` leaves the partition out; the process is killed all the same. */
const HAS_CUT = process.env.CUT !== '0';
/** The sheet gives these clients one. */
const RETRIES = 1;
/** Pause before a retry that was told no time. */
const BACKOFF_MS = 300;
const DEADLINE_MS = 25_000;
/** The rule speaks of as many streams that are taken up. */
const MIN_TAKEN_UP = 12;

const listEvents = (body) => body.match(/^id: \d+\ndata: \S+ \S+\n\n/gm) ?? [];

/** Addresses of front nodes as a client keeps them: asked again when they are too old. */
function createAddresses(directory, zone, keepFactor) {
	let known = [];
	let until = 0;
	return async () => {
		if (performance.now() > until) {
			const answer = await call({
				address: directory,
				path: `/v1/resolve?name=${HOST}&region=au-east&zone=${zone}`,
			});
			if (answer?.status === 200) {
				const found = JSON.parse(answer.body);
				known = found.addresses;
				until = performance.now() + found['ttl-s'] * 1000 * keepFactor;
			}
		}

		return known;
	};
}

/** Sends a stream, and takes it up as often as the pages allow; resolves with its attempts. */
async function sendStream(readAddresses) {
	const startedAt = performance.now();
	const failed = new Set();
	const attempts = [];
	let received = 0;
	let firstId;
	for (let turn = 0; turn <= RETRIES; turn += 1) {
		/* eslint-disable no-await-in-loop -- one attempt after the other */
		const addresses = await readAddresses();
		const usable = addresses.filter((address) => !failed.has(address));
		const address = usable[Math.floor(Math.random() * usable.length)];
		if (address === undefined) {
			break;
		}

		const client = createClient(address);
		const result = await client.send({
			method: 'POST',
			path: '/stream/brief',
			body: 'x'.repeat(5000),
			deadlineMs: Math.round(DEADLINE_MS - (performance.now() - startedAt)),
			headers: {
				'X-Model': 'm',
				'X-Token-Usage': '5000,960',
				...(received === 0
					? {}
					: {'Last-Event-Id': String(received), Resumes: firstId}),
			},
		});
		client.close();
		const events = result.status === 200 ? listEvents(result.body).length : 0;
		attempts.push({...result, address, isTakeUp: received > 0, events});
		firstId = events > 0 ? (firstId ?? result.requestId) : firstId;
		received += events;
		if (result.status === 200 && result.outcome === 'answered') {
			break;
		}

		if (result.status === undefined) {
			failed.add(address);
		}

		const pauseS = Number(result.headers?.['retry-after'] ?? 0);
		await sleep(result.status === 503 ? pauseS * 1000 : BACKOFF_MS);
		/* eslint-enable no-await-in-loop */
	}

	return attempts;
}

await runCase(import.meta.dirname, async (system, record) => {
	const cut = new Set();
	const controls = ZONES.slice(0, 3).map((zone, i) =>
		system.createControl(i + 1, zone, {advertisedIp: system.host(i + 101)}),
	);
	await Promise.all(
		controls.map(async ({ip}, i) =>
			startRelay({
				host: system.host(i + 101),
				target: ip,
				isCut: (name) => cut.has(name),
			}),
		),
	);
	system.nameSeeds(
		controls.map(({name}, i) => ({
			name,
			control: `${system.host(i + 101)}:8748`,
		})),
	);
	const fronts = Array.from({length: FRONTS}, (_, i) =>
		system.createEntry(i + 11, ZONES[i % ZONES.length]),
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
				version: i < ENGINES / 2 ? 'v1' : 'v2',
			}),
		),
	);
	await sleep(2500);

	const streams = [];
	const startedAt = performance.now();
	const traffic = Array.from({length: CLIENTS}, async (_, client) => {
		const place = client % FRONTS;
		const readAddresses = createAddresses(
			fronts[place].directory,
			ZONES[place % ZONES.length],
			client % LONG_KEEP === 0 ? LONG_KEEP : 1,
		);
		await sleep(Math.random() * EVENTS * EVENT_MS);
		while (performance.now() < startedAt + TRAFFIC_MS) {
			// eslint-disable-next-line no-await-in-loop -- one stream after the other
			streams.push(await sendStream(readAddresses));
		}
	});

	await sleep(CUT_AT_MS);
	const [lost] = fronts;
	const cutAt = performance.now();
	if (HAS_TROUBLE) {
		if (HAS_CUT) {
			record(`${lost.name} is partitioned from the core`);
			cut.add(lost.name);
		}

		await sleep(KILLED_AFTER_MS);
		lost.signal('SIGKILL');
	}

	await Promise.all(traffic);
	const isOther = ({address}) => address !== lost.front;
	const takenUp = streams.filter((attempts) =>
		attempts.some((attempt) => attempt.isTakeUp && isOther(attempt)),
	);
	const goesOn = (attempts) =>
		attempts.some((attempt) => attempt.isTakeUp && attempt.events > 0);
	takenUp.forEach((attempts) => {
		record(
			attempts
				.map(
					({address, requestId, sentAt, status, outcome, events}) =>
						`${((sentAt - cutAt) / 1000).toFixed(3)} s after the cut at ${address} ${requestId}: ${status ?? '-'} ${outcome}, ${events} events`,
				)
				.join('; '),
		);
	});
	const fresh = streams.filter(
		([attempt]) => attempt.sentAt > cutAt && isOther(attempt),
	);
	const begun = fresh.filter(([{events}]) => events > 0);
	const wentOn = takenUp.filter((attempts) => goesOn(attempts));
	const share = wentOn.length / Math.max(1, takenUp.length);
	const freshShare = begun.length / Math.max(1, fresh.length);
	const isBroken = takenUp.length >= MIN_TAKEN_UP && share < freshShare / 2;
	return {
		isBroken,
		summary: `${isBroken ? 'LOST broken' : 'held'}: ${wentOn.length} of ${takenUp.length} streams that were taken up went on, ${begun.length} of ${fresh.length} new ones began`,
	};
});
