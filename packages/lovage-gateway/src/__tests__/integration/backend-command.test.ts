import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {createBackendView} from '../../backend-view.js';
import {sendBackendCommand} from '../../backend-command.js';
import {
	createTestBrittle,
	createTestLimits,
	silentLogger,
	silentMetrics,
	testCodec,
} from './harness.js';

it('sends no command to a backend server in a pause, reachable or not', async () => {
	let arrivals = 0;
	const server = createServer((_, res) => {
		arrivals += 1;
		res.end('handle');
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
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
	const backend = view.find('e-0')!;
	view.recordNotice(backend, {isLeaving: false, pushbackMs: 5000}, 0);
	view.reportHealth(backend, 'unreachable');
	const command = testCodec.createCopyCommand('r-1', 'elsewhere');
	const resolveAddress = ({address}: {address: string}) => address;
	const ctx = {codec: testCodec, view, resolveAddress};
	const outcome = await sendBackendCommand(ctx, backend, command);
	expect(outcome.isErr()).toBe(true);
	expect(arrivals).toBe(0);
	server.close();
});
