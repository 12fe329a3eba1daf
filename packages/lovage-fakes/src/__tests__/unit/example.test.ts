import {
	findCustomerByKey,
	findOperatorByKey,
	hashKey,
} from '@lovagevalve/inventory';
import {describe, expect, it} from 'vitest';
import {loadExample} from '../../example.js';

describe.each(['verselight', 'cooperativa'] as const)('example %s', (name) => {
	it('matches the schema, and its demo keys match the inventory', () => {
		const {configuration, customerKeys, operator} = loadExample(name);
		const {inventory} = configuration;
		Object.entries(customerKeys).forEach(([id, key]) => {
			expect(findCustomerByKey(inventory, hashKey(key))?.id).toBe(id);
		});
		expect(Object.keys(customerKeys)).toHaveLength(inventory.customers.length);
		expect(findOperatorByKey(inventory, hashKey(operator.key))?.id).toBe(
			operator.id,
		);
	});
});
