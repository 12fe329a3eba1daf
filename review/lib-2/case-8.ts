// Streams are sent on kept connections to an entry that got SIGTERM over 3 s before, by
// clients whose answer of the directory still names it.
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {drawId, send} from './client.js';
import {type Answer, call} from './http.js';
import {configure, createConfiguration, HOST} from './operator.js';
import {runCase} from './run-case.js';
import type {Machine} from './system.js';
import {readId, sendStream, startWorker} from './worker.js';

const ENTRIES = 3;
const WORKERS = 3;
const FIRST_WORKER_HOST = 41;
const SETTLE_MS = 4000;
/** Clients with a kept connection; each sends one stream before the stop and one after it. */
const CLIENTS = 24;
const EVENTS = 40;
/** Time that the streams before the stop take. */
const USUAL_MS = 2000;
/** Time that a stream takes which is under way when the entry stops. */
const UNDER_WAY_MS = 6000;
const UNDER_WAY_BEFORE_MS = 100;
/** Time that the streams after the stop take. */
const LATE_MS = 7000;
const DEADLINE_MS = 25_000;
const DEFAULT_TTL_MS = 1000;
/** Some clients keep an answer of the directory for so many times as long as it says. */
const KEPT_TIMES = 3;
const POLL_MS = 10;
const POLL_FOR_MS = 1000;
/** The streams are sent this long before the clients' answer ends. */
const BEFORE_END_MS = 15;
/** The rule excuses requests that were sent up to then after the SIGTERM. */
const EXCUSED_MS = 3000;

await runCase(ENTRIES, async ({record, system, hasTrouble, addCleanup}) => {
	const {controls, entries, block} = system;
	const [stopping, ...others] = entries as [Machine, ...Machine[]];
	await configure(
		record,
		controls,
		createConfiguration(1, [{name: 'brief', kind: 'stream', service: 'model'}]),
	);
	const passedOn = new Set<string>();
	const workers = await Promise.all(
		Array.from({length: WORKERS}, async (_, i) =>
			startWorker({
				record,
				controls,
				host: `${block}.${FIRST_WORKER_HOST + i}`,
				id: `model-${i + 1}`,
				service: 'model',
				run(req, res) {
					const id = readId(req);
					passedOn.add(id);
					record(`model-${i + 1} runs ${id}`);
					const lastsMs = Number(req.url?.split('/')[2]);
					sendStream(req, res, {events: EVENTS, lastsMs});
					res.on('close', () => {
						record(
							`model-${i + 1}: ${id} ${res.writableFinished ? 'is complete' : 'was closed before its end'}`,
						);
					});
				},
			}),
		),
	);
	workers.forEach((worker) => {
		addCleanup(worker.stop);
	});
	await system.awaitReady();
	await sleep(SETTLE_MS);
	const createAgent = (): Agent => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		addCleanup(() => {
			agent.destroy();
		});
		return agent;
	};

	const stream = async (
		agent: Agent,
		lastsMs: number,
	): Promise<Answer & Readonly<{id: string}>> => {
		const id = drawId();
		const answer = await send(stopping, {
			id,
			kind: 'stream',
			path: `/brief/${lastsMs}`,
			deadlineMs: DEADLINE_MS,
			agent,
		});
		record(
			`the client gets ${id}: ${answer.status} ${answer.reason} after ${Math.round(answer.tookMs)} ms`,
		);
		return {...answer, id};
	};

	const agents = Array.from({length: CLIENTS}, createAgent);
	await Promise.all(agents.map(async (agent) => stream(agent, USUAL_MS)));
	const underWay = stream(createAgent(), UNDER_WAY_MS);
	await sleep(UNDER_WAY_BEFORE_MS);
	const stoppedAt = performance.now();
	const readMs = (): number => Math.round(performance.now() - stoppedAt);
	if (hasTrouble) {
		stopping.signal('SIGTERM');
	}

	const askUntilMs = hasTrouble ? POLL_FOR_MS : 0;
	/** The last question to a directory whose answer named the entry, and its lifetime. */
	let named = {askedMs: 0, ttlMs: DEFAULT_TTL_MS};
	const ask = async ({name, directory, zone}: Machine): Promise<void> => {
		while (readMs() < askUntilMs) {
			const askedMs = readMs();
			/* eslint-disable no-await-in-loop -- one question after the other */
			const {status, body} = await call({
				address: directory,
				path: `/v1/resolve?name=${HOST}&region=r&zone=${zone}`,
			});
			if (status === 200) {
				const {addresses, 'ttl-s': ttlS} = JSON.parse(body) as {
					addresses: readonly string[];
					'ttl-s': number;
				};
				if (addresses.includes(stopping.front) && askedMs >= named.askedMs) {
					named = {askedMs, ttlMs: ttlS * 1000};
					record(
						`${name} names ${stopping.name} to a client that asks ${askedMs} ms after the SIGTERM, for ${named.ttlMs} ms`,
					);
				}
			}

			await sleep(POLL_MS);
			/* eslint-enable no-await-in-loop */
		}
	};

	await Promise.all([...others, ...controls].map(ask));
	const {askedMs, ttlMs} = named;
	await sleep(askedMs + KEPT_TIMES * ttlMs - BEFORE_END_MS - readMs());
	const sentMs = readMs();
	if (hasTrouble && sentMs <= EXCUSED_MS) {
		throw new Error(`the streams would be sent ${sentMs} ms after the SIGTERM`);
	}

	record(`the clients send streams ${sentMs} ms after the SIGTERM`);
	const answers = await Promise.all(
		agents.map(async (agent) => stream(agent, LATE_MS)),
	);
	await underWay;
	const cut = answers.filter(
		({id, status, isWhole}) =>
			passedOn.has(id) && (status === 0 || (status === 200 && !isWhole)),
	);
	return {
		isBroken: cut.length > 0,
		counted: `${cut.length} of ${answers.length} streams that were sent ${sentMs} ms after the SIGTERM were passed on and cut`,
	};
});
