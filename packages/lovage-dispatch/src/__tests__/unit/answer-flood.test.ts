import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {findStreamFlood, NO_PROGRESS} from '../../answer-flood.js';

const BURST = 1024;
const LINK_EVENTS_PER_MS = 1000;

describe('findStreamFlood', () => {
	// Callers may name fewer tokens than they are sent.
	it('takes no stream at the pace of an engine for a flood', () => {
		fc.assert(
			fc.property(
				fc.nat(1_000_000),
				fc.nat(100_000),
				(elapsedMs, maxTokens) => {
					const progress = {...NO_PROGRESS, newEvents: elapsedMs};
					const flood = findStreamFlood(progress, {maxTokens, elapsedMs});
					expect(flood).toBeUndefined();
				},
			),
		);
	});

	it('allows an answer that arrives at once', () => {
		const allowance = {maxTokens: 5000, elapsedMs: 0};
		const known = {...NO_PROGRESS, newEvents: 5000};
		expect(findStreamFlood(known, allowance)).toBeUndefined();
		const short = {...NO_PROGRESS, newEvents: BURST};
		expect(
			findStreamFlood(short, {...allowance, maxTokens: 0}),
		).toBeUndefined();
	});

	it('finds events in order at the speed of a link within a few milliseconds', () => {
		const elapsedMs = 3;
		const progress = {
			...NO_PROGRESS,
			newEvents: elapsedMs * LINK_EVENTS_PER_MS,
		};
		expect(findStreamFlood(progress, {maxTokens: 80, elapsedMs})).toBe(
			'flood: 3000 events in 3 ms',
		);
	});

	it('finds comments and repeated events without new ones', () => {
		const progress = {...NO_PROGRESS, idleParts: 1025, idleBytes: 3075};
		expect(findStreamFlood(progress, {maxTokens: 80, elapsedMs: 10})).toBe(
			'flood: 1025 parts of 3075 bytes without a new event',
		);
		const longer = {...progress, newEvents: 1};
		expect(
			findStreamFlood(longer, {maxTokens: 80, elapsedMs: 10}),
		).toBeUndefined();
	});
});
