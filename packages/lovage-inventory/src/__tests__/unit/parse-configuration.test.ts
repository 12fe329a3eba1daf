import {mkdtemp, rm, truncate, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	formatConfigurationError,
	loadConfiguration,
	parseConfiguration,
	type ConfigurationError,
} from '../../index.js';
import {INVENTORY, RULES, WRONG_INVENTORY, WRONG_RULES} from './fixtures.js';

const NAMES = {inventory: 'inventory.yaml', rules: 'rules.yaml'};
const ROOT = path.resolve(import.meta.dirname, '../../../../..');

function listErrors(inventoryText: string, rulesText: string): string[] {
	return parseConfiguration({inventoryText, rulesText, names: NAMES}).match(
		() => [],
		(errors) => errors.map(formatConfigurationError),
	);
}

test('accepts a valid inventory and valid rules', () => {
	expect(listErrors(INVENTORY, RULES)).toEqual([]);
});

test('reports all ten errors with their positions', () => {
	expect(listErrors(WRONG_INVENTORY, WRONG_RULES)).toEqual([
		'inventory.yaml:4:6: dataCentres[1].id: duplicate data centre "north"',
		'inventory.yaml:6:5: services[0].models: an engine service must have at least one model',
		'inventory.yaml:9:18: services[0].workers[0].dataCentre: data centre "east" is not in dataCentres',
		'inventory.yaml:10:10: services[0].workers[1].id: duplicate worker "w1"',
		'inventory.yaml:10:37: services[0].workers[1].checksFencing: must be a boolean',
		'inventory.yaml:15:101: customers[0].shares: is not a known key',
		'inventory.yaml:16:16: customers[1].keyHash: another customer or operator has the same key',
		'rules.yaml:2:6: nonIdempotent[0].service: "writing" is an engine service; only operations of plain services can be non-idempotent',
		'rules.yaml:4:23: priorities[0].priority: must be at most 9',
		'rules.yaml:7:6: objectives[1].service: duplicate objective for "writing"',
	]);
});

test.each([
	{
		title: 'a duplicate key',
		inventory: `name: a\n${INVENTORY}`,
		expected: 'inventory.yaml:2:1: duplicate key in a mapping',
	},
	{
		title: 'an unterminated list',
		inventory: `x: [1\n${INVENTORY}`,
		expected: 'inventory.yaml:2:1: is not valid YAML',
	},
	{
		title: 'an unknown customer',
		inventory: INVENTORY.replace('{id: alpha', '{id: gamma'),
		expected:
			'rules.yaml:4:6: priorities[0].customer: customer "alpha" is not in the inventory',
	},
	{
		title: 'an unknown service',
		inventory: INVENTORY.replace('id: ledger', 'id: books'),
		expected:
			'rules.yaml:2:6: nonIdempotent[0].service: service "ledger" is not in the inventory',
	},
	{
		title: 'a plain service with models',
		inventory: INVENTORY.replace(
			'kind: plain',
			"kind: plain\n    models: [{id: m, version: '1'}]",
		),
		expected:
			'inventory.yaml:15:5: services[1].models: a plain service must not have models',
	},
])('reports $title', ({inventory, expected}) => {
	const errors = listErrors(inventory, RULES);
	expect(errors.filter((line) => line.startsWith(expected))).toHaveLength(1);
});

test('rejects aliases that expand to a huge value', () => {
	const bomb = `a: &a [1,1]
b: &b [*a,*a,*a,*a,*a,*a,*a,*a]
c: &c [*b,*b,*b,*b,*b,*b,*b,*b]
d: [*c,*c,*c,*c,*c,*c,*c,*c]
`;
	expect(listErrors(bomb, RULES)[0]).toMatch(/cannot be read/);
});

test('returns errors and never throws for arbitrary text', () => {
	fc.assert(
		fc.property(fc.string(), fc.json(), (inventory, rules) => {
			expect(listErrors(inventory, rules).length).toBeGreaterThan(0);
		}),
		{seed: 11, numRuns: 300},
	);
});

test('loads the configurations of both example deployments', async () => {
	const loaded = await Promise.all(
		['verselight', 'cooperativa'].map(async (name) =>
			loadConfiguration(
				path.join(ROOT, 'examples', name, 'inventory.yaml'),
				path.join(ROOT, 'examples', name, 'rules.yaml'),
			),
		),
	);
	const sizes = loaded.map((result) =>
		result
			._unsafeUnwrap()
			.inventory.services.map(({id, workers}) => [id, workers.length]),
	);
	expect(sizes).toEqual([
		[
			['lyric-analysis', 17],
			['licensing', 2],
			['catalogue', 2],
		],
		[
			['tutoring', 25],
			['enrolment', 3],
		],
	]);
});

test('reports files that are missing or too large', async () => {
	const dir = await mkdtemp(path.join(tmpdir(), 'lovage-inventory-'));
	const large = path.join(dir, 'large.yaml');
	await writeFile(large, 'a: 1\n');
	await truncate(large, 8 * 1024 * 1024 + 1);
	const result = await loadConfiguration(path.join(dir, 'none.yaml'), large);
	await rm(dir, {recursive: true});
	const messages = result
		._unsafeUnwrapErr()
		.map((err: ConfigurationError) => err.message);
	expect(messages[0]).toMatch(/ENOENT/);
	expect(messages[1]).toMatch(/is larger than/);
});
