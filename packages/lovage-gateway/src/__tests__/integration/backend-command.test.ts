// Guards against commands in a pause, and against the use of answers to others.
import {createServer, type RequestListener} from 'node:http';
import {expect, it} from 'vitest';
import type {BackendRecord} from '@lovagevalve/dispatch';
import {createBackendView, type BackendView} from '../../backend-view.js';
import {sendBackendCommand} from '../../backend-command.js';
import {
	createCleanups,
	createTestBrittle,
	createTestLimits,
	listen,
	silentLogger,
	silentMetrics,
	testCodec,
	createTestBuffers,
} from './harness.js';

const cleanups = createCleanups();

/** Starts a backend server and a view in which it is registered. */
async function start(
	handler: RequestListener,
): Promise<{view: BackendView; backend: BackendRecord}> {
	const server = createServer(handler);
	const port = await listen(server);
	cleanups.push(() => server.close());
	const clock = {now: () => performance.now(), wall: () => Date.now()};
	const view = createBackendView({
		clock,
		brittle: createTestBrittle(clock),
		readRank: () => ({rank: 0, instances: 1}),
		onUnreachable: () => undefined,
		log: silentLogger,
		metrics: silentMetrics,
		registrationIntervalMs: 60_000,
		limits: createTestLimits(clock),
	});
	view.applyReport({
		version: 1,
		controls: [],
		entries: 1,
		known: {epoch: 1, revision: 1},
		backends: [
			{
				id: 'e-0',
				service: 's',
				address: `127.0.0.1:${port}`,
				dataCentre: 'a',
				state: 'ready',
				slots: 8,
				bornAt: 1,
				sequence: 1,
				ageMs: 0,
			},
		],
		agesMs: {},
		convicted: [],
	});
	return {view, backend: view.find('e-0')!};
}

async function sendCopyCommand(view: BackendView, backend: BackendRecord) {
	return sendBackendCommand(
		{
			buffers: createTestBuffers(),
			codec: testCodec,
			view,
			log: silentLogger,
			resolveAddress: ({address}) => address,
		},
		{backend, requestId: 'r-1'},
		testCodec.createCopyCommand('r-1', 'elsewhere'),
	);
}

it('sends no command to a backend server in a pause, reachable or not', async () => {
	let arrivals = 0;
	const {view, backend} = await start((_, res) => {
		arrivals += 1;
		res.end('handle');
	});
	view.recordNotice(backend, {isLeaving: false, pushbackMs: 5000}, 0);
	view.reportHealth(backend, 'unreachable');
	const outcome = await sendCopyCommand(view, backend);
	expect(outcome.isErr()).toBe(true);
	expect(arrivals).toBe(0);
});

it.each([
	['no request', {}, true],
	['the run', {'Request-Id': 'r-1'}, true],
	['another request', {'Request-Id': 'r-0'}, false],
])(
	'takes the answer that names %s for its own: %j, %s',
	async (_, headers, isOwn) => {
		const {view, backend} = await start((_req, res) => {
			res.writeHead(200, headers).end('handle');
		});
		const outcome = await sendCopyCommand(view, backend);
		expect(outcome.isOk()).toBe(isOwn);
	},
);

it('heeds no notice in an answer to another request', async () => {
	const {view, backend} = await start((_, res) => {
		res
			.writeHead(503, {
				'Request-Id': 'r-0',
				'Not-Run': '1',
				Pushback: '60000',
				Leaving: '1',
			})
			.end();
	});
	const outcome = await sendCopyCommand(view, backend);
	expect(outcome.isErr()).toBe(true);
	expect(view.acceptsCommands(backend)).toBe(true);
	expect(view.readAvailability(backend.id)).toBe('usable');
});

it('heeds the pause in a refusal of its own', async () => {
	const {view, backend} = await start((_, res) => {
		res.writeHead(503, {'Not-Run': '1', Pushback: '60000'}).end();
	});
	const outcome = await sendCopyCommand(view, backend);
	expect(outcome.isErr()).toBe(true);
	expect(view.acceptsCommands(backend)).toBe(false);
});
