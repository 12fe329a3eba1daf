import {describe, expect, it} from 'vitest';
import {findClosedReason, recordNotice} from '../../index.js';

const leaving = {isLeaving: true};
const busy = (pushbackMs: number) => ({isLeaving: false, pushbackMs});

describe('leaving', () => {
	it('lasts for the rest of the incarnation', () => {
		const notices = recordNotice(undefined, 1, leaving, 0);
		const later = recordNotice(notices, 1, {isLeaving: false}, 50);
		expect(findClosedReason(later, 1, 1e9)).toBe('leaving');
	});

	it('does not apply to the next incarnation', () => {
		const notices = recordNotice(undefined, 1, leaving, 0);
		expect(findClosedReason(notices, 2, 10)).toBeUndefined();
		const reborn = recordNotice(notices, 2, {isLeaving: false}, 20);
		expect(findClosedReason(reborn, 2, 30)).toBeUndefined();
	});

	it('is not forgotten when an answer of the previous incarnation comes late', () => {
		const notices = recordNotice(undefined, 2, leaving, 0);
		const late = recordNotice(notices, 1, {isLeaving: false}, 10);
		expect(findClosedReason(late, 2, 20)).toBe('leaving');
	});
});

describe('pushback', () => {
	it('ends after the requested time, by the age of the answer', () => {
		const notices = recordNotice(undefined, 1, busy(2000), 1000);
		expect(findClosedReason(notices, 1, 1000)).toBe('pushback');
		expect(findClosedReason(notices, 1, 2999)).toBe('pushback');
		expect(findClosedReason(notices, 1, 3000)).toBeUndefined();
	});

	it('is not shortened by a later answer that asks for less', () => {
		const notices = recordNotice(undefined, 1, busy(5000), 0);
		const later = recordNotice(notices, 1, busy(100), 1000);
		expect(findClosedReason(later, 1, 4999)).toBe('pushback');
	});

	it('yields to leaving, which does not end', () => {
		const notices = recordNotice(undefined, 1, busy(100), 0);
		const later = recordNotice(notices, 1, leaving, 10);
		expect(findClosedReason(later, 1, 50)).toBe('leaving');
	});
});
