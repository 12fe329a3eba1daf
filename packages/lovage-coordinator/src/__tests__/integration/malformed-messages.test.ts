import {mkdtemp, rm} from 'node:fs/promises';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	type AgedRecord,
	type ControlReport,
	fromAgedRecord,
} from '@lovagevalve/dispatch';
import {createBufferBudget, type PrometheusMetrics} from '@lovagevalve/runtime';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {createCoordinator, type Coordinator} from '../../index.js';

const noop = (): undefined => undefined;
const log = {debug: noop, info: noop, warn: noop, error: noop};
const metrics = {
	count: noop,
	time: noop,
	registerGauge: noop,
	serve: noop,
} as unknown as PrometheusMetrics;
const buffers = createBufferBudget({
	capacityBytes: 2 ** 30,
	log,
	metrics,
});
const clock = {now: () => performance.now(), wall: () => Date.now()};
const ADDRESS = '127.0.0.1:19471';

let folder: string;
let coordinator: Coordinator;
let nextNumber = 1;

beforeAll(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'lovage-malformed-'));
	coordinator = createCoordinator(
		{
			name: 'control-1',
			address: ADDRESS,
			dataFolder: folder,
			isFirstStart: true,
			registrationIntervalMs: 1000,
			readSeeds: () => [ADDRESS],
		},
		{clock, log, metrics, buffers, random: Math.random},
	);
	await new Promise<void>((resolve) => {
		coordinator.server.listen(0, '127.0.0.1', resolve);
	});
	const waitForLeader = async (): Promise<void> => {
		if (!(await put(nextNumber++))) {
			await sleep(50);
			await waitForLeader();
		}
	};

	await waitForLeader();
});

afterAll(async () => {
	coordinator.server.closeAllConnections();
	coordinator.server.close();
	await coordinator.stop();
	await rm(folder, {recursive: true});
});

async function put(version: number): Promise<boolean> {
	return coordinator.putConfiguration({version, text: `v${version}`});
}

async function send(
	call: string,
	body: string,
): Promise<Readonly<{status: number; text: string}>> {
	const {port} = coordinator.server.address() as AddressInfo;
	const response = await fetch(`http://127.0.0.1:${port}${call}`, {
		method: 'POST',
		body,
	});
	return {status: response.status, text: await response.text()};
}

const report = {
	entry: 'entry-1',
	address: '10.0.0.1:8080',
	dataCentre: 'heredia',
	standing: 'ready',
	version: 1,
	loads: {'i-1': [1, 2, 3]},
	retries: {desk: {requests: 3, retries: 1}},
	crashes: [],
	wantsOverview: true,
	wantsAges: true,
};
const record: AgedRecord = {
	id: 'i-1',
	service: 'desk',
	address: '10.0.0.2:8080',
	dataCentre: 'heredia',
	state: 'ready',
	slots: 4,
	bornAt: 1,
	sequence: 1,
	ageMs: 0,
};
const envelope = {group: 'lovagevalve', from: 'r', to: 'x', term: 1};
const append = {
	...envelope,
	kind: 'append',
	previousIndex: 0,
	previousTerm: 0,
	entries: [{kind: 'noop', index: 1, term: 1}],
	commitIndex: 0,
	round: 0,
};
const deep = '['.repeat(500_000) + ']'.repeat(500_000);

function deliver(...messages: readonly unknown[]): string {
	return JSON.stringify({from: '127.0.0.1:1', messages});
}

const oddFields: Readonly<Record<string, unknown>> = {
	entry: 7,
	address: '10.0.0.1:80800',
	standing: 'constructor',
	loads: {'i-1': [1, 2]},
	retries: {constructor: null},
	crashes: [{digest: 'd', backend: 'no-incarnation'}],
	crashReports: [{digest: 'd', backend: 'i-1/1', ageMs: 0}],
	soundMs: {d: 'x'},
	leaving: {},
	limits: {'i-1/1': {ageMs: 1, sent: '1'}},
	brittle: {constructor: []},
	origins: [['key', 'desk', 1, 1]],
	known: 1,
	agesAboveMs: 'all',
};

/** Calls of an instance that are refused. */
const malformed: ReadonlyArray<readonly [string, string, string]> = [
	...['', '{', 'null', '[]', '7', '""', '{}', deep, '{"__proto__":[]}'].flatMap(
		(body) =>
			[
				'/report',
				'/gossip',
				'/raft',
				'/join',
				'/propose',
				'/stream-origin',
			].map((call) => [call, body.slice(0, 20), body] as const),
	),
	...Object.entries(oddFields).map(
		([name, value]) =>
			['/report', name, JSON.stringify({...report, [name]: value})] as const,
	),
	[
		'/report',
		'loads of 1e300',
		JSON.stringify({...report, loads: {'i-1': [1e300, 0, 0]}}),
	],
	['/gossip', 'convictions', '{"backends":[],"convictedMs":{"d":"x"}}'],
	['/gossip', 'a digest', '{"backends":[],"convictedMs":{"__proto__":1}}'],
	[
		'/report',
		'a digest',
		JSON.stringify({
			...report,
			crashes: [{digest: 'constructor', backend: 'i-1/1'}],
		}),
	],
	['/raft', 'a kind', deliver({...append, kind: 'constructor'})],
	['/raft', 'a term', deliver({...append, term: 1e300})],
	['/raft', 'entries', deliver({...append, entries: {}})],
	['/raft', 'an index', deliver({...append, previousIndex: -1})],
	[
		'/raft',
		'a gap',
		deliver({...append, entries: [{kind: 'noop', index: 3, term: 1}]}),
	],
	[
		'/raft',
		'the second message',
		deliver(append, {...append, entries: [{kind: 'noop', index: 1}]}),
	],
	[
		'/raft',
		'members',
		deliver({
			...append,
			entries: [{kind: 'membership', index: 1, term: 1, members: [{}]}],
		}),
	],
	[
		'/join',
		'an address',
		'{"replica":"r","name":"n","address":"127.0.0.1:80800"}',
	],
	['/propose', 'a version', '{"version":"9","text":"x"}'],
	['/propose', 'a version', '{"version":1e999,"text":"x"}'],
	['/propose', 'no text', '{"version":900}'],
	['/stream-origin', 'services', '{"services":"desk"}'],
];

// A later build may tell of floods in another way.
describe('a control instance that receives floods that it can not read', () => {
	// The loads of this entry would stay in the sums of later tests until it counts as silent.
	afterAll(async () => {
		await send(
			'/report',
			JSON.stringify({...report, entry: 'entry-floods', loads: {}}),
		);
	});

	it.each(['all', 7, null, [], [null], {'i-1/1': 'x'}, {'i-1/1': {}}])(
		'accepts the rest of the report: %j',
		async (floods) => {
			const {status} = await send(
				'/report',
				JSON.stringify({...report, entry: 'entry-floods', floods}),
			);
			expect(status).toBe(200);
			const {text} = await send(
				'/report',
				JSON.stringify({...report, entry: 'entry-2', loads: {}}),
			);
			const {overview} = JSON.parse(text) as ControlReport;
			expect(overview?.loads['i-1']).toBeDefined();
			expect(overview?.floods).toEqual({});
		},
	);
});

// Fields of the messages were read as if each peer sent what this build sends.
describe('a control instance that receives a malformed message', () => {
	it.each(malformed)('refuses all of it: %s, %s', async (call, _, body) => {
		const {status} = await send(call, body);
		expect(status).toBe(400);

		// What is sound is followed as before.
		const id = `i-new-${nextNumber}`;
		await coordinator.register(fromAgedRecord({...record, id}, clock.now()));
		expect(coordinator.find(id)?.id).toBe(id);
		expect(await put(nextNumber++)).toBe(true);
		const answer = await send('/report', JSON.stringify(report));
		expect(answer.status).toBe(200);
		const {version, backends} = JSON.parse(answer.text) as ControlReport;
		expect(version).toBe(nextNumber - 1);
		expect(backends.some((backend) => backend.id === id)).toBe(true);
	});

	it.each([
		[{address: '10.0.0.2:80800'}],
		[{address: 'here'}],
		[{id: ''}],
		[{id: 'i\n'}],
		[{id: 'i-\u0100'}],
		[{state: 'constructor'}],
		[{bornAt: null}],
		[{slots: '4'}],
		[{ageMs: undefined}],
		[{service: 5}],
	])('leaves a record with %j out and takes the others', async (change) => {
		const id = `i-sound-${nextNumber++}`;
		const odd = {...record, id: `i-odd-${nextNumber++}`, ...change};
		const sound = {...record, id, address: `10.1.0.1:${7000 + nextNumber}`};
		const body = JSON.stringify({backends: [odd, sound, null]});
		expect(await send('/gossip', body)).toMatchObject({status: 200});
		expect(coordinator.find(odd.id)).toBeUndefined();
		expect(coordinator.find(id)?.state).toBe('ready');
	});

	it('knows nothing of entries and services with the names of members of objects', async () => {
		const names = ['constructor', '__proto__', 'toString'];
		const loads = names.map((name) => `"${name}":[1,1,1]`).join(',');
		const retries = names
			.map((name) => `"${name}":{"requests":1,"retries":1}`)
			.join(',');
		const body = JSON.stringify({...report, entry: 'entry-2'}).replace(
			/"loads":.*"crashes"/,
			`"loads":{${loads}},"retries":{${retries}},"crashes"`,
		);
		expect(await send('/report', body)).toMatchObject({status: 200});
		const {text} = await send('/report', JSON.stringify(report));
		const {overview} = JSON.parse(text) as ControlReport;
		expect(JSON.stringify(overview!.loads)).toBe(`{${loads}}`);
		expect(JSON.stringify(overview!.retries)).toContain(retries);
	});
});
