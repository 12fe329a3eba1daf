import {setTimeout as sleep} from 'node:timers/promises';
import type {Socket} from 'node:net';
import {expect, it} from 'vitest';
import {
	adaptConfiguration,
	call,
	createCleanups,
	formatEvent,
	type Harness,
	sendRaw,
	startBackend,
	startHarness,
} from './harness.js';

const cleanups = createCleanups();
const PROMPT_TOKENS = 1000;
/** Requests that fit into the memory of one engine. */
const MAX_HELD = 3;
const EVENTS = 10;
const EVENT_PAUSE_MS = 20;

type FakeEngine = Readonly<{
	port: number;
	readMostHeld: () => number;
	listReceived: () => readonly string[];
	/** Loses all that runs, and takes no connection any more. */
	end: () => void;
}>;

/** Starts an engine that counts the requests that it holds at once. */
async function startEngine(): Promise<FakeEngine> {
	let held = 0;
	let mostHeld = 0;
	const received: string[] = [];
	const sockets = new Set<Socket>();
	const {server, port} = await startBackend((req, res) => {
		if (req.url?.startsWith('/stream') !== true) {
			res.end();
			return;
		}

		received.push(String(req.headers['request-id']));
		held += 1;
		mostHeld = Math.max(mostHeld, held);
		res.once('close', () => {
			held -= 1;
		});
		const send = async (): Promise<void> => {
			res.writeHead(200, {
				'Content-Type': 'text/event-stream',
				'Request-Id': req.headers['request-id'],
			});
			const first = Number(req.headers['last-event-id'] ?? 0) + 1;
			for (let id = first; id <= EVENTS && !res.destroyed; id += 1) {
				res.write(formatEvent(id));
				// eslint-disable-next-line no-await-in-loop -- events come one after another
				await sleep(EVENT_PAUSE_MS);
			}

			res.end();
		};

		void send();
	});
	server.on('connection', (socket) => {
		sockets.add(socket);
	});
	const end = (): void => {
		server.close();
		sockets.forEach((socket) => socket.destroy());
	};

	cleanups.push(end);
	return {
		port,
		readMostHeld: () => mostHeld,
		listReceived: () => received,
		end,
	};
}

async function start(engines: readonly FakeEngine[]): Promise<Harness> {
	const harness = await startHarness(
		adaptConfiguration(
			{latencyTargetMs: 8000, timeoutMs: 10_000, maxAttempts: 5},
			{
				memoryTokens: MAX_HELD * PROMPT_TOKENS,
				canBackUp: false,
				canCopy: false,
			},
		),
		undefined,
		[],
		{hasAdmission: true},
	);
	cleanups.push(harness.close);
	harness.setBackends(engines.map(({port}) => port));
	return harness;
}

async function send(port: number, i: number, promptTokens = PROMPT_TOKENS) {
	return call(port, '/stream/x', {
		'Request-Id': `r-${i}`,
		Prompt: String(promptTokens),
		'Wait-Ms': '9000',
	});
}

// An engine ends when it holds more than its memory: the streams of one that was lost in
// the middle of a burst must wait for room at the others.
it('keeps the memory of the other engines when one is lost in a burst', async () => {
	const engines = await Promise.all([1, 2, 3].map(startEngine));
	const {port} = await start(engines);
	const calls = Array.from({length: 24}, async (_, i) => send(port, i));
	await sleep(100);
	engines[0]!.end();
	const answers = await Promise.all(calls);
	expect(answers.map(({status, isWhole}) => ({status, isWhole}))).toEqual(
		answers.map(() => ({status: 200, isWhole: true})),
	);
	expect(
		Math.max(...engines.map(({readMostHeld}) => readMostHeld())),
	).toBeLessThanOrEqual(MAX_HELD);
});

// A stream that no engine can hold would wait until its deadline.
it('refuses at once what no engine can hold, with a time to retry', async () => {
	const engine = await startEngine();
	const {port} = await start([engine]);
	const answer = await send(port, 0, MAX_HELD * PROMPT_TOKENS + 1);
	expect(answer.status).toBe(503);
	expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
	expect(engine.readMostHeld()).toBe(0);
});

// The room of a caller that has left would stay taken, or its stream would start.
it('forgets what waits when its caller leaves', async () => {
	const engine = await startEngine();
	const {port, view} = await start([engine]);
	const calls = Array.from({length: MAX_HELD}, async (_, i) => send(port, i));
	await sleep(50);
	const {socket} = sendRaw(
		cleanups,
		port,
		`POST /stream/x HTTP/1.1\r\nHost: test\r\nRequest-Id: left\r\nPrompt: ${PROMPT_TOKENS}\r\nContent-Length: 0\r\n\r\n`,
	);
	await sleep(50);
	socket.destroy();
	await Promise.all(calls);
	await sleep(100);
	expect(engine.listReceived()).not.toContain('left');
	expect(engine.listReceived()).toHaveLength(MAX_HELD);
	expect(view.readOwnLoads()).toEqual({});
});
