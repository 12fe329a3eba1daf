import {setTimeout as sleep} from 'node:timers/promises';
import {createJsonServer} from '@lovagevalve/runtime';
import {ok} from 'neverthrow';
import {expect, it} from 'vitest';
import {createEntry} from '../../entry.js';
import {
	call,
	configuration,
	createCleanups,
	listen,
	silentLogger,
	silentMetrics,
	startBackend,
	testCodec,
	createTestBuffers,
} from './harness.js';

const cleanups = createCleanups();
const APPLIED_MS = 1500;

/** Starts a control instance that gives these answers, as JSON. */
async function startControl(
	answers: Readonly<Record<string, string>>,
): Promise<string> {
	const server = createJsonServer({
		handler: async ({path}) => ({status: 200, body: answers[path] ?? 'null'}),
		onError: () => undefined,
		buffers: createTestBuffers(),
		source: 'instances',
	});
	cleanups.push(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${await listen(server)}`;
}

/** A list in a list, and so on. */
function nest(depth: number): unknown {
	return JSON.parse('['.repeat(depth) + ']'.repeat(depth));
}

const known = {epoch: 1, revision: 1};
const SOUND_CONFIGURATION = '{"text":"one"}';
const FOREIGN: ReadonlyArray<readonly [string, unknown]> = [
	['null', null],
	['a list', []],
	['no field', {}],
	['a text', 'report'],
	['a version that it does not hand out', {version: 9, known}],
	[
		'addresses that are none',
		{version: 1, known, controls: ['127.0.0.1:80800', {}, null]},
	],
	[
		'objects instead of lists',
		{version: 1, known, controls: {}, backends: {}, convicted: 1},
	],
	[
		'records that are none',
		{version: 1, known, backends: [null, {}, 5], agesMs: []},
	],
	[
		'an overview of another shape',
		{
			version: 1,
			known,
			overview: {loads: {x: null}, retries: null, limits: {x: null}},
			suspects: {},
		},
	],
	['lists that are nested', nest(1000)],
];

// A report of another build ended the entry where one of its fields was read.
it.each(FOREIGN)(
	'an entry serves and follows the sound control instance beside one that answers %s',
	async (_, foreign) => {
		const backend = await startBackend((req, res) => {
			res.setHeader('Request-Id', String(req.headers['request-id']));
			res.end('text');
		});
		const record = {
			id: 'e-0',
			service: 's',
			address: `127.0.0.1:${backend.port}`,
			dataCentre: 'a',
			state: 'ready',
			slots: 8,
			bornAt: 1,
			sequence: 1,
			ageMs: 0,
		};
		const sound = JSON.stringify({
			version: 1,
			controls: [],
			entries: 1,
			known,
			backends: [null, {...record, id: 'e-1', address: 'x'}, record],
			agesMs: {},
			overview: {serving: [], loads: {}, retries: {}},
			convicted: [],
		});
		const controls = [
			await startControl({
				'/report': sound,
				'/configuration': SOUND_CONFIGURATION,
			}),
			await startControl({'/report': JSON.stringify(foreign)}),
		];
		const entry = createEntry(
			{
				name: 'entry',
				address: '127.0.0.1:1',
				dataCentre: 'a',
				readSeeds: () => controls,
				registrationIntervalMs: 60_000,
				retryBudget: {windowMs: 10_000, ratio: 1, extra: 10},
				gracePeriodMs: 50,
				addressLifetimeMs: 0,
			},
			{
				clock: {now: () => performance.now(), wall: () => Date.now()},
				log: silentLogger,
				metrics: silentMetrics,
				buffers: createTestBuffers(),
				codec: testCodec,
				random: () => 0,
				decodeConfiguration: () => ok(configuration),
			},
		);
		cleanups.push(entry.drain, () => backend.server.close());
		const port = await listen(entry.gateway.server);
		await sleep(APPLIED_MS);
		expect(entry.isReady()).toBe(true);
		expect(await call(port, '/plain/1')).toMatchObject({
			status: 200,
			body: 'text',
		});
	},
);
