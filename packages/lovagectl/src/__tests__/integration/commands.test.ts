import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {loadConfiguration, type Configuration} from '@lovagevalve/inventory';
import {
	createServiceLevel,
	stepServiceLevel,
	takeSnapshot,
} from '@lovagevalve/report';
import type {
	ApplyRequest,
	ControlHandlers,
	EntryInfo,
	ProgressResponse,
} from '@lovagevalve/wire';
import {Hono} from 'hono';
import {afterEach, expect, test} from 'vitest';
import {runCommandLine} from '../../run-command-line.js';
import {
	createTestHost,
	serve,
	serveControl,
	UNASSIGNED,
	type FakeServer,
} from './fake-group.js';

const EXAMPLE = path.resolve(
	import.meta.dirname,
	'../../../../../examples/verselight',
);
const FILES = [
	'--inventory',
	path.join(EXAMPLE, 'inventory.yaml'),
	'--rules',
	path.join(EXAMPLE, 'rules.yaml'),
];
const ENV = {
	LOVAGE_OPERATOR: 'verselight-operations',
	LOVAGE_OPERATOR_KEY: 'demo-verselight-operations',
};
const ENTRY: EntryInfo = {
	id: 'entry-1',
	address: 'http://127.0.0.1:1',
	dataCentre: 'london-a',
	state: 'serving',
	incarnation: 'first',
};

const servers: FakeServer[] = [];

afterEach(async () => {
	await Promise.all(servers.splice(0).map(async ({server}) => server.close()));
});

async function startControl(
	handlers: Partial<ControlHandlers>,
): Promise<string> {
	const fake = await serveControl(handlers);
	servers.push(fake);
	return fake.address;
}

async function run(args: readonly string[]) {
	const {host, results, messages} = createTestHost(ENV);
	const code = await runCommandLine(args, host);
	return {code, results, messages};
}

async function readExample(): Promise<Configuration> {
	const loaded = await loadConfiguration(FILES[1]!, FILES[3]!);
	return loaded._unsafeUnwrap();
}

function createProgress(
	appliedVersion: number,
	entry: EntryInfo = ENTRY,
): ProgressResponse {
	return {
		kind: 'progress',
		version: 2,
		inForceEverywhere: appliedVersion === 2,
		entries: [{entry, appliedVersion, leaseRemainingMs: 900}],
	};
}

test('apply follows a redirect and retries with the same operation id after a lost response', async () => {
	const sent: ApplyRequest[] = [];
	const leader = await startControl({
		async apply(req) {
			sent.push(req);
			if (sent.length === 1) {
				throw new Error('the response is lost');
			}

			return {kind: 'accepted', version: 1, repeated: true};
		},
	});
	const other = await startControl({
		readConfiguration: async () => ({kind: 'not-leader', leader}),
		apply: async () => ({kind: 'not-leader', leader}),
	});
	const outcome = await run(['apply', '--json', '--control', other, ...FILES]);
	expect(outcome.code).toBe(0);
	expect(JSON.parse(outcome.results[0]!)).toEqual({
		version: 1,
		repeated: true,
		operationId: 'generated-id',
	});
	expect(sent.map(({operationId}) => operationId)).toEqual([
		'generated-id',
		'generated-id',
	]);
	expect(sent[0]).toEqual(sent[1]);
	expect(outcome.messages.at(-1)).toContain(
		'--base-version 0 --operation-id generated-id',
	);
});

test('apply shows the differences after a conflict', async () => {
	const cfg = await readExample();
	const winner = {
		...cfg,
		rules: {...cfg.rules, claimRetentionMs: 1000},
	};
	const address = await startControl({
		apply: async () => ({
			kind: 'conflict',
			version: 5,
			operationId: 'theirs',
			configuration: winner,
		}),
	});
	const args = ['apply', '--control', address, '--base-version', '4'];
	const outcome = await run([...args, ...FILES]);
	expect(outcome.code).toBe(4);
	expect(outcome.messages).toContain(
		'~ claim retention all: ms 1000 -> 604800000',
	);
});

test('apply explains how to retry when the outcome is unknown', async () => {
	const address = await startControl({
		apply: async () => ({kind: 'unavailable'}),
	});
	const args = ['apply', '--control', address, '--operation-id', 'mine'];
	const outcome = await run([...args, '--timeout', '1', ...FILES]);
	expect(outcome.code).toBe(5);
	expect(outcome.messages.at(-1)).toContain(
		'retry with --base-version 0 --operation-id mine',
	);
});

test('apply does not retry after a rejected key or invalid input', async () => {
	const forbidden = await startControl({
		apply: async () => ({kind: 'forbidden'}),
	});
	const denied = await run(['apply', '--control', forbidden, ...FILES]);
	expect(denied.code).toBe(6);
	const tooLong = ['--operation-id', 'x'.repeat(129)];
	const refused = await run([
		'apply',
		'--control',
		forbidden,
		...tooLong,
		...FILES,
	]);
	expect(refused.code).toBe(1);
});

test('plan and apply report no changes when the files match the current version', async () => {
	const configuration = await readExample();
	const address = await startControl({
		readConfiguration: async () => ({kind: 'read', version: 7, configuration}),
	});
	const planned = await run(['plan', '--json', '--control', address, ...FILES]);
	expect(JSON.parse(planned.results[0]!)).toEqual({
		baseVersion: 7,
		changes: [],
	});
	const applied = await run(['apply', '--control', address, ...FILES]);
	expect(applied.results).toEqual(['no changes to version 7']);
});

test('follow prints status changes until the version is in force everywhere', async () => {
	const versions = [1, 1, 2];
	const address = await startControl({
		progress: async () => createProgress(versions.shift() ?? 2),
	});
	const outcome = await run(['follow', '--json', '--control', address]);
	const lines = outcome.results.map(
		(line) => JSON.parse(line) as Record<string, unknown>,
	);
	expect(outcome.code).toBe(0);
	expect(lines.map(({standing}) => standing)).toEqual([
		'waiting',
		'in-force',
		undefined,
	]);
	expect(lines.at(-1)).toMatchObject({version: 2, inForceEverywhere: true});
});

test('follow exits with code 7 on timeout', async () => {
	const address = await startControl({progress: async () => createProgress(1)});
	const args = ['follow', '--control', address, '--timeout', '2'];
	const outcome = await run(args);
	expect(outcome.code).toBe(7);
});

test('init is idempotent and rejects members of another group', async () => {
	const members: unknown[] = [];
	const address = await startControl({
		async initialise(input) {
			members.push(...input.members);
			return {kind: 'initialised'};
		},
	});
	const grouped = await startControl({
		status: async () => ({...UNASSIGNED, role: 'follower', group: 'g.1'}),
	});
	const args = ['init', '--group', 'g', '--control'];
	const first = await run([...args, address]);
	expect(first.code).toBe(0);
	expect(members).toEqual([{replica: 'r1', name: 'one', address}]);
	const repeated = await run([...args, grouped]);
	expect(repeated.results).toEqual(['group g already exists']);
	const args2 = ['init', '--group', 'h', '--control', grouped];
	const foreign = await run(args2);
	expect(foreign.code).toBe(4);
});

test('drain asks the entry to shut down and waits until it has stopped', async () => {
	const asked: unknown[] = [];
	const app = new Hono();
	app.get('/health', (ctx) => ctx.json({}));
	app.post('/v1/operator/drain', async (ctx) => {
		asked.push(await ctx.req.json(), ctx.req.header('authorization'));
		return ctx.body(null, 202);
	});
	const fake = await serve(app);
	const entry = {...ENTRY, address: fake.address};
	const leaving = {...entry, state: 'leaving'} as const;
	// A new leader does not know the lease of an entry that still runs.
	const unknown = {...createProgress(2), entries: []};
	const answers = [
		createProgress(2, entry),
		createProgress(2, leaving),
		unknown,
	];
	let closing: Promise<void> | undefined;
	const address = await startControl({
		async progress() {
			const answer = answers.shift();
			if (answer === undefined) {
				closing ??= fake.server.close();
				await closing;
			}

			return answer ?? unknown;
		},
	});
	const args = ['drain', 'entry-1', '--json', '--control', address];
	const outcome = await run(args);
	expect(outcome.code).toBe(0);
	expect(answers).toEqual([]);
	expect(JSON.parse(outcome.results[0]!)).toMatchObject({
		stopped: true,
		elapsedMs: 1000,
	});
	expect(asked).toEqual([
		{operator: 'verselight-operations'},
		'Bearer demo-verselight-operations',
	]);
	const missing = await run(['drain', 'entry-9', '--control', address]);
	expect(missing.code).toBe(1);
});

test('drain does not treat an unreachable entry with a valid lease as stopped', async () => {
	const app = new Hono();
	app.post('/v1/operator/drain', (ctx) => ctx.body(null, 202));
	const fake = await serve(app);
	const entry = {...ENTRY, address: fake.address};
	let closing: Promise<void> | undefined;
	let asked = 0;
	const address = await startControl({
		async progress() {
			asked += 1;
			if (asked > 1) {
				closing ??= fake.server.close();
				await closing;
			}

			return createProgress(2, entry);
		},
	});
	const args = ['drain', 'entry-1', '--control', address, '--timeout', '1'];
	const outcome = await run(args);
	expect(outcome.code).toBe(7);
});

test('report merges the snapshots of the reachable entries and lists the others', async () => {
	const configuration = await readExample();
	const {state} = stepServiceLevel(createServiceLevel(configuration.rules), {
		kind: 'resumed',
		customer: 'sync-london',
		service: 'lyric-analysis',
		at: 0,
		waitMs: 1200,
		cause: 'backend-server-lost',
	});
	const app = new Hono();
	app.get('/v1/operator/report', (ctx) => ctx.json(takeSnapshot(state, 0)));
	const fakes = [await serve(app), await serve(app), await serve(new Hono())];
	servers.push(...fakes);
	const entries = fakes.map((fake, i) => ({
		entry: {...ENTRY, id: `entry-${i}`, address: fake.address},
		appliedVersion: 2,
		leaseRemainingMs: 900,
	}));
	const address = await startControl({
		readConfiguration: async () => ({kind: 'read', version: 2, configuration}),
		progress: async () => ({...createProgress(2), entries}),
	});
	const dir = await mkdtemp(path.join(tmpdir(), 'lovagectl-'));
	const html = path.join(dir, 'report.html');
	const args = ['report', '--json', '--control', address, '--html', html];
	const outcome = await run(args);
	const page = await readFile(html, 'utf8');
	await rm(dir, {recursive: true});
	expect(outcome.code).toBe(0);
	expect(outcome.messages[0]).toContain('missing from the report');
	expect(JSON.parse(outcome.results[0]!)).toMatchObject({
		name: 'verselight',
		entries: 2,
		missing: ['entry-2'],
		services: [{service: 'lyric-analysis', all: {resume: {count: 2}}}],
	});
	expect(page).toContain('<svg');
});

test('status shows unreachable instances', async () => {
	const address = await startControl({progress: async () => createProgress(2)});
	const args = ['--control', address, '--control', 'http://127.0.0.1:1'];
	const outcome = await run(['status', ...args]);
	expect(outcome.code).toBe(0);
	expect(outcome.results.join('\n')).toContain('unreachable');
	expect(outcome.results.join('\n')).toContain('version 2 in force');
});

test.each([
	[['validate', '--rules', '/nowhere/rules.yaml'], 3],
	[['plan', '--timeout', '1x'], 2],
	[['plan', '--control', 'ftp://host'], 2],
	[['unknown'], 2],
	[['hash-key'], 0],
	[['--help'], 0],
])('%j exits with code %i', async (args, code) => {
	const outcome = await run(args);
	expect(outcome.code).toBe(code);
});
