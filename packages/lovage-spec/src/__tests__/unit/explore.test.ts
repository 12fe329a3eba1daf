import {describe, expect, test} from 'vitest';
import {explore} from '../../explore.js';

type Add = Readonly<{type: 'add'; by: number}>;

const add = (limit: number, forbidden?: number) =>
	explore<{sum: number}, Add>({
		initial: {sum: 0},
		events: ({sum}) =>
			[1, 2].filter((by) => sum + by <= limit).map((by) => ({type: 'add', by})),
		step: ({sum}, {by}) => ({sum: sum + by}),
		findViolation: ({sum}) => (sum === forbidden ? 'not forbidden' : undefined),
	});

describe('explore', () => {
	test('visits every reachable state once', () => {
		expect(add(10)).toEqual({states: 11, violation: undefined});
	});

	test('reports the shortest path to a violation', () => {
		const path = add(10, 3).violation?.path;
		expect(path).toHaveLength(2);
		expect(path?.toSorted()).toEqual(['add by=1', 'add by=2']);
	});

	test('refuses a model without bounds', () => {
		expect(() => add(200_000)).toThrow(RangeError);
	});
});
