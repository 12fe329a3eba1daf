// Guards against answers that are believed of a process that ended before the question,
// and against a slow backend server that is asked once for each run.
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendRecord} from '@lovagevalve/dispatch';
import {afterEach, expect, it} from 'vitest';
import {createBackendView} from '../../backend-view.js';
import {createIncarnationQuestions} from '../../incarnation-questions.js';
import {
	createTestBrittle,
	createTestLimits,
	silentLogger,
	silentMetrics,
	testCodec,
	createTestBuffers,
} from '../integration/harness.js';

const ANSWER_MS = 60;
const RUNS = 10;
let server: Server | undefined;

afterEach(() => {
	server?.closeAllConnections();
	server?.close();
});

/** Starts an engine that answers after a while, and the questions to it. */
async function start() {
	let asked = 0;
	server = createServer(async (_, res) => {
		asked += 1;
		await sleep(ANSWER_MS);
		res.end('5');
	});
	await new Promise<void>((resolve) => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const backend: BackendRecord = {
		id: 'e-0',
		service: 's',
		address: `127.0.0.1:${port}`,
		dataCentre: 'a',
		state: 'ready',
		slots: 8,
		bornAt: 5,
		sequence: 1,
		heardAt: 0,
	};
	const clock = {now: () => performance.now(), wall: () => Date.now()};
	const view = createBackendView({
		clock,
		log: silentLogger,
		metrics: silentMetrics,
		registrationIntervalMs: 1000,
		limits: createTestLimits(clock),
		brittle: createTestBrittle(clock),
		readRank: () => ({rank: 0, instances: 1}),
		onUnreachable: () => undefined,
	});
	const questions = createIncarnationQuestions({
		buffers: createTestBuffers(),
		clock,
		log: silentLogger,
		codec: {...testCodec, readBornAt: Number},
		resolveAddress: ({address}) => address,
		view,
	});
	return {questions, backend, clock, countAsked: () => asked};
}

it('asks again for a run that connected after the open question', async () => {
	const {questions, backend, clock, countAsked} = await start();
	const first = questions.ask(backend);
	await sleep(ANSWER_MS / 3);
	const runs = Array.from({length: RUNS}, async () =>
		questions.ask(backend, clock.now()),
	);
	const proofs = await Promise.all([first, ...runs]);
	expect(proofs).toEqual(proofs.map(() => ({kind: 'proved'})));
	// One for all runs.
	expect(countAsked()).toBe(2);
});

it('joins the open question of those whom any word serves', async () => {
	const {questions, backend, countAsked} = await start();
	const proofs = await Promise.all(
		Array.from({length: RUNS}, async () => questions.ask(backend)),
	);
	expect(proofs).toHaveLength(RUNS);
	expect(countAsked()).toBe(1);
});
