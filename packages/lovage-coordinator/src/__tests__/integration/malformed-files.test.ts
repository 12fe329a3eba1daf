import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {createBufferBudget, type PrometheusMetrics} from '@lovagevalve/runtime';
import {afterAll, expect, it} from 'vitest';
import {createCoordinator, type Coordinator} from '../../index.js';

const noop = (): undefined => undefined;
const metrics = {
	count: noop,
	time: noop,
	registerGauge: noop,
	serve: noop,
} as unknown as PrometheusMetrics;
const buffers = createBufferBudget({
	capacityBytes: 2 ** 30,
	log: {debug: noop, info: noop, warn: noop, error: noop},
	metrics,
});
const clock = {now: () => performance.now(), wall: () => Date.now()};
const ADDRESS = '127.0.0.1:19472';
const deep = '['.repeat(500_000) + ']'.repeat(500_000);
const quarantine = {
	now: 1000,
	deaths: [],
	records: {},
	convicted: {},
	uncertain: {},
};
const death = {
	backend: 'i-1',
	incarnation: 1,
	dataCentre: 'heredia',
	digests: ['d'],
	parts: {'part:p': ['d']},
	reportedAt: 900,
	verdict: 'pending',
};

const folders: string[] = [];

afterAll(async () => {
	await Promise.all(
		folders.map(async (folder) => rm(folder, {recursive: true})),
	);
});

/** Creates a data folder that holds a file. */
async function createFolder(name: string, text: string): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'lovage-files-'));
	folders.push(folder);
	await writeFile(path.join(folder, name), text);
	return folder;
}

/** Starts a coordinator, commits through it, and stops it; returns what it logged. */
async function runOnce(folder: string): Promise<readonly string[]> {
	const lines: string[] = [];
	const write = (message: string): void => {
		lines.push(message);
	};

	const coordinator: Coordinator = createCoordinator(
		{
			name: 'control-1',
			address: ADDRESS,
			dataFolder: folder,
			isFirstStart: true,
			registrationIntervalMs: 1000,
			readSeeds: () => [ADDRESS],
		},
		{
			clock,
			log: {debug: write, info: write, warn: write, error: write},
			metrics,
			buffers,
			random: Math.random,
		},
	);
	const waitForCommit = async (): Promise<void> => {
		const configuration = {version: Date.now(), text: 'v'};
		if (!(await coordinator.putConfiguration(configuration))) {
			await sleep(50);
			await waitForCommit();
		}
	};

	await waitForCommit();
	// Registrations, reports of crashes and stored origins are taken as before.
	await sleep(600);
	await coordinator.stop();
	return lines;
}

const files: ReadonlyArray<readonly [string, string, string]> = [
	...['', 'x', 'null', '[]', '7', '{"__proto__":{}}', deep].flatMap((text) =>
		['quarantine.json', 'software-versions.json'].map(
			(name) => [name, text.slice(0, 20), text] as const,
		),
	),
	...Object.entries({
		records: [null, {d: null}, {d: {strikes: 'x', lastAt: 1}}, {d: 1}],
		deaths: [[null], [{...death, digests: null}], [{...death, verdict: 'x'}]],
		convicted: [null, {d: 'x'}],
		uncertain: [null, {d: null}],
		now: ['x', null],
	}).flatMap(([field, values]) =>
		values.map(
			(value) =>
				[
					'quarantine.json',
					`${field} ${JSON.stringify(value)}`,
					JSON.stringify({...quarantine, [field]: value as unknown}),
				] as const,
		),
	),
	['software-versions.json', 'a list', '{"at":1,"versions":{"desk":[1]}}'],
	['software-versions.json', 'a time', '{"at":"1","versions":{}}'],
];

// A file of another shape was taken, and the process ended at each start.
it.concurrent.each(files)(
	'starts without what %s does not hold: %s',
	async (name, _, text) => {
		const lines = await runOnce(await createFolder(name, text));
		expect(
			lines.filter((line) => line.startsWith('Failed to read')),
		).toHaveLength(1);
		expect(lines).not.toContain('A task in the background failed.');
	},
);

it('takes the quarantine and the origins that it can read', async () => {
	const folder = await createFolder(
		'quarantine.json',
		JSON.stringify({...quarantine, deaths: [death]}),
	);
	const until = Date.now() + 60_000;
	const origins = [
		'null',
		'{}',
		'x',
		deep,
		'["a","desk","v1",1e999]',
		'["a","desk","v1","x"]',
		`["__proto__","desk","v1",${until}]`,
		`["b","desk","v1",${until},"i-1/1",1e300]`,
		'["c","desk","v',
	];
	await writeFile(
		path.join(folder, 'stream-origins-1.jsonl'),
		origins.join('\n'),
	);
	const lines = await runOnce(folder);
	expect(lines.filter((line) => line.startsWith('Failed'))).toEqual([]);
	expect(lines).not.toContain('A task in the background failed.');
});
