import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {afterAll, beforeAll, expect, test} from 'vitest';
import type {Host} from '../../host.js';
import {runCommandLine} from '../../run-command-line.js';
import {createRealGroup, type RealGroup} from './real-group.js';

const EXAMPLE = path.resolve(
	import.meta.dirname,
	'../../../../../examples/verselight',
);
const OPERATOR_KEY = 'demo-verselight-operations';
const ENTRIES = 8;
/** A change must be in force at every entry within this time, in seconds. */
const IN_FORCE_WITHIN = '6';

let group: RealGroup;

beforeAll(async () => {
	group = await createRealGroup(ENTRIES, OPERATOR_KEY);
	await group.start();
});

afterAll(async () => {
	await group.stop();
});

async function run(args: readonly string[]) {
	const results: string[] = [];
	const host: Host = {
		env: {
			LOVAGE_CONTROL: group.controls.join(','),
			LOVAGE_OPERATOR: 'verselight-operations',
			LOVAGE_OPERATOR_KEY: OPERATOR_KEY,
		},
		writeResult(line) {
			results.push(line);
		},
		writeMessage: () => undefined,
		readInput: async () => '',
		now: () => performance.now(),
		wall: () => Date.now(),
		random: () => 0.5,
		createId: () => 'created',
		async sleep(ms) {
			await delay(ms);
		},
	};
	const code = await runCommandLine([...args, '--json'], host);
	const values = results.map(
		(line) => JSON.parse(line) as Record<string, unknown>,
	);
	return {code, values, last: values.at(-1)};
}

async function writeRules(name: string, queueLength: number): Promise<string> {
	const text = await readFile(path.join(EXAMPLE, 'rules.yaml'), 'utf8');
	const file = path.join(group.dir, `${name}.yaml`);
	const changed = text.replace(
		/queueLength: \d+/,
		`queueLength: ${queueLength}`,
	);
	await writeFile(file, changed);
	return file;
}

async function apply(rules: string, ...args: readonly string[]) {
	const inventory = path.join(EXAMPLE, 'inventory.yaml');
	const files = ['--inventory', inventory, '--rules', rules];
	return run(['apply', ...files, ...args]);
}

async function expectInForce(version: number): Promise<void> {
	const target = ['--version', String(version), '--timeout', IN_FORCE_WITHIN];
	const {code, values, last} = await run(['follow', ...target]);
	expect(code).toBe(0);
	expect(last).toMatchObject({version, inForceEverywhere: true});
	const entries = values.flatMap(({entry, standing}) =>
		standing === 'in-force' ? [entry] : [],
	);
	expect(new Set(entries).size).toBe(ENTRIES);
}

test('a change reaches every entry, and exactly one of two concurrent changes is accepted', async () => {
	const initialised = await run(['init', '--group', 'verselight']);
	expect(initialised.code).toBe(0);
	const first = await apply(path.join(EXAMPLE, 'rules.yaml'));
	expect(first.last).toMatchObject({version: 1});
	await expectInForce(1);

	const [ours, theirs] = [
		await writeRules('a', 300),
		await writeRules('b', 400),
	];
	const race = await Promise.all([
		apply(ours, '--base-version', '1', '--operation-id', 'ours'),
		apply(theirs, '--base-version', '1', '--operation-id', 'theirs'),
	]);
	expect(race.map(({code}) => code).toSorted((a, b) => a - b)).toEqual([0, 4]);
	await expectInForce(2);

	const isOurs = race[0].code === 0;
	const [rules, id] = isOurs ? [ours, 'ours'] : [theirs, 'theirs'];
	const again = await apply(rules, '--base-version', '1', '--operation-id', id);
	expect(again.last).toMatchObject({version: 2, repeated: true});
});
