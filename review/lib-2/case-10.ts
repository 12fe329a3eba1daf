// Many streams begin at one entry at the same moment, while workers of two software
// versions serve; the entry is killed right after their first events. Clients take their
// streams up at the other entries.
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {drawId, send} from './client.js';
import type {Answer} from './http.js';
import {configure, createConfiguration} from './operator.js';
import {runCase} from './run-case.js';
import type {Machine} from './system.js';
import {readId, sendStream, startWorker} from './worker.js';

const ENTRIES = 3;
/** Time from the last of the first events to the kill. */
const KILL_AFTER_MS = Number(process.env.KILL_AFTER_MS ?? 0);
const VERSIONS = ['v1', 'v2'];
const WORKERS_OF_EACH = 3;
const FIRST_WORKER_HOST = 41;
const SETTLE_MS = 4000;
/** Streams that begin together. */
const CLIENTS = 30;
const STREAM = {events: 60, lastsMs: 3000};
const DEADLINE_MS = 25_000;
/** Streams that begin at each other entry meanwhile, and the time between them. */
const NEW_STREAMS = 30;
const NEW_INTERVAL_MS = 150;
/** Times that a client tries to take its stream up, each on a new connection. */
const TRIES = 3;
const MIN_PAUSE_MS = 300;
/** The rule holds for so many streams that are taken up. */
const MIN_TAKEN_UP = 12;

function readLastEventId({body}: Answer): number {
	const whole = body.slice(0, body.lastIndexOf('\n\n') + 1);
	return Number([...whole.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? 0);
}

function isComplete({status, isWhole}: Answer): boolean {
	return status === 200 && isWhole;
}

await runCase(ENTRIES, async ({record, system, hasTrouble, addCleanup}) => {
	const {controls, entries, block} = system;
	const [killed, ...others] = entries as [Machine, ...Machine[]];
	await configure(
		record,
		controls,
		createConfiguration(1, [{name: 'brief', kind: 'stream', service: 'model'}]),
	);
	const workers = await Promise.all(
		Array.from({length: WORKERS_OF_EACH * VERSIONS.length}, async (_, i) => {
			const version = VERSIONS[i % VERSIONS.length]!;
			const id = `model-${i + 1}`;
			return startWorker({
				record,
				controls,
				host: `${block}.${FIRST_WORKER_HOST + i}`,
				id,
				service: 'model',
				version,
				run(req, res) {
					record(`${id} (${version}) runs ${readId(req)}`);
					sendStream(req, res, STREAM);
				},
			});
		}),
	);
	workers.forEach((worker) => {
		addCleanup(worker.stop);
	});
	await system.awaitReady();
	await sleep(SETTLE_MS);

	const attempt = async (
		entry: Machine,
		id: string,
		onData?: () => void,
		resumed?: Readonly<{lastEventId: number; resumes: string}>,
	): Promise<Answer> => {
		const answer = await send(entry, {
			id,
			kind: 'stream',
			path: '/brief/x',
			deadlineMs: DEADLINE_MS,
			agent: new Agent(),
			...(onData === undefined ? {} : {onData}),
			...(resumed === undefined ? {} : {resumed}),
		});
		const what =
			resumed === undefined
				? ''
				: `, which takes up ${resumed.resumes} behind event ${resumed.lastEventId},`;
		record(
			`${id}${what} at ${entry.name}: ${answer.status} ${answer.reason}, last event ${readLastEventId(answer)}`,
		);
		return answer;
	};

	/** Takes a broken stream up; resolves with whether it goes on to its end. */
	const takeUp = async (
		resumes: string,
		lastEventId: number,
		turn: number,
	): Promise<boolean> => {
		for (let i = 0; i < TRIES; i += 1) {
			const entry = others[(turn + i) % others.length]!;
			/* eslint-disable no-await-in-loop -- one try after the other */
			const answer = await attempt(entry, drawId(), undefined, {
				lastEventId,
				resumes,
			});
			if (isComplete(answer)) {
				return true;
			}

			const askedMs = Number(answer.headers['retry-after'] ?? 0) * 1000;
			await sleep(Math.max(MIN_PAUSE_MS, askedMs));
			/* eslint-enable no-await-in-loop */
		}

		return false;
	};

	const begin = async (entry: Machine): Promise<readonly boolean[]> => {
		const begun: Array<Promise<boolean>> = [];
		for (let i = 0; i < NEW_STREAMS; i += 1) {
			begun.push(
				(async () => {
					const answer = await attempt(entry, drawId());
					return readLastEventId(answer) > 0;
				})(),
			);
			// eslint-disable-next-line no-await-in-loop -- paces the streams
			await sleep(NEW_INTERVAL_MS);
		}

		return Promise.all(begun);
	};

	const newStreams = Promise.all(others.map(begin));
	await sleep(NEW_INTERVAL_MS);
	let begunClients = 0;
	const outcomes = await Promise.all(
		Array.from({length: CLIENTS}, async (_, turn) => {
			const id = drawId();
			let hasBegun = false;
			const first = await attempt(killed, id, () => {
				begunClients += hasBegun ? 0 : 1;
				const isLast = !hasBegun && begunClients === CLIENTS;
				hasBegun = true;
				if (isLast && hasTrouble) {
					setTimeout(() => {
						killed.signal('SIGKILL');
					}, KILL_AFTER_MS);
				}
			});
			const lastEventId = readLastEventId(first);
			if (isComplete(first) || lastEventId === 0) {
				return 'not broken';
			}

			return (await takeUp(id, lastEventId, turn)) ? 'goes on' : 'lost';
		}),
	);
	const begun = await newStreams;
	const news = begun.flat();
	const begunShare = news.filter(Boolean).length / news.length;
	const takenUp = outcomes.filter((outcome) => outcome !== 'not broken');
	const goOn = takenUp.filter((outcome) => outcome === 'goes on').length;
	return {
		isBroken:
			takenUp.length >= MIN_TAKEN_UP && goOn / takenUp.length < begunShare / 2,
		counted: `${goOn} of ${takenUp.length} streams that were taken up went on; ${news.filter(Boolean).length} of ${news.length} new ones began`,
	};
});
