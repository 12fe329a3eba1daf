import {expect, it} from 'vitest';
import {combinePriorities} from '../../request-priority.js';

// Customers that all have one priority hid the order of the routes, so that urgent streams
// waited behind patient ones.
it('orders requests of equal customers by their routes', () => {
	expect(combinePriorities(1, 0)).toBeLessThan(combinePriorities(1, 2));
	expect(combinePriorities(undefined, 0)).toBeLessThan(
		combinePriorities(undefined, 1),
	);
});

it('puts the priority of a customer before that of a route', () => {
	expect(combinePriorities(0, 2)).toBeLessThan(combinePriorities(1, 0));
	expect(combinePriorities(1, 9)).toBeLessThan(combinePriorities(2, 0));
});

it('stays within the priorities that engines take', () => {
	const priorities = [-1, 0, 0.5, 1, 7, 1e9, Number.MAX_SAFE_INTEGER];
	priorities.forEach((customer) => {
		priorities.forEach((route) => {
			const combined = combinePriorities(customer, route);
			expect(Number.isInteger(combined)).toBe(true);
			expect(combined).toBeGreaterThanOrEqual(0);
			expect(combined).toBeLessThanOrEqual(9);
		});
	});
});
