import {expect, test} from 'vitest';
import {
	DEFAULT_PRIORITY,
	diffConfigurations,
	findCustomerByKey,
	findWorker,
	formatChange,
	hashKey,
	isNonIdempotent,
	objectiveOf,
	parseConfiguration,
	priorityOf,
	type Configuration,
} from '../../index.js';
import {INVENTORY, RULES} from './fixtures.js';

function parse(inventoryText: string, rulesText: string): Configuration {
	const names = {inventory: 'inventory.yaml', rules: 'rules.yaml'};
	return parseConfiguration({inventoryText, rulesText, names})._unsafeUnwrap();
}

const CFG = parse(INVENTORY, RULES);

test('treats only the listed operations as non-idempotent', () => {
	const withWildcard = parse(INVENTORY, RULES.replace('grant', "'*'")).rules;
	expect(isNonIdempotent(CFG.rules, 'ledger', 'grant')).toBe(true);
	expect(isNonIdempotent(CFG.rules, 'ledger', 'status')).toBe(false);
	expect(isNonIdempotent(CFG.rules, 'writing', 'grant')).toBe(false);
	expect(isNonIdempotent(withWildcard, 'ledger', 'status')).toBe(true);
});

test('applies the most specific priority rule', () => {
	expect(priorityOf(CFG.rules, 'alpha', 'writing')).toBe(8);
	expect(priorityOf(CFG.rules, 'alpha', 'ledger')).toBe(7);
	expect(priorityOf(CFG.rules, 'beta', 'writing')).toBe(2);
	expect(priorityOf(CFG.rules, 'beta', 'ledger')).toBe(DEFAULT_PRIORITY);
});

test('returns the objective of a service or the default', () => {
	expect(objectiveOf(CFG.rules, 'writing').target).toBe(0.99);
	expect(objectiveOf(CFG.rules, 'ledger').resumeWithinMs).toBe(4000);
});

test('finds customers by the hash of their key and workers by service', () => {
	const hash = hashKey('secret');
	const {inventory} = parse(
		INVENTORY.replace(`sha256:${'a'.repeat(64)}`, hash),
		RULES,
	);
	expect(findCustomerByKey(inventory, hash)?.id).toBe('alpha');
	expect(findCustomerByKey(inventory, hashKey('other'))).toBeUndefined();
	expect(findWorker(inventory, 'writing', 'w2')?.checksFencing).toBe(false);
	expect(findWorker(inventory, 'ledger', 'w2')).toBeUndefined();
});

test('lists added, removed and changed items', () => {
	const after = parse(
		INVENTORY.replace('share: 3', 'share: 5').replace(
			'id: w2, dataCentre: south',
			'id: w3, dataCentre: south, rack: r1',
		),
		RULES.replace('target: 0.99', 'target: 0.95').replace('grant', 'pay'),
	);
	expect(diffConfigurations(CFG, after).map(formatChange)).toEqual([
		'- worker writing/w2',
		'- non-idempotent ledger/grant',
		'+ worker writing/w3 dataCentre=south rack=r1 checksFencing=false',
		'~ customer alpha: share 3 -> 5',
		'+ non-idempotent ledger/pay',
		'~ objective writing: target 0.99 -> 0.95',
	]);
	expect(diffConfigurations(CFG, CFG)).toEqual([]);
	expect(diffConfigurations(undefined, CFG).length).toBeGreaterThan(10);
});
