import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	createEventCredit,
	findStreamFlood,
	NO_PROGRESS,
	spendEvent,
} from '../../answer-flood.js';

const LONGEST_ANSWER = 16_384;
const HOUR_MS = 3_600_000;
const LINK_EVENTS_PER_MS = 100;

/** Plays events at given times; returns the first reason to leave the stream. */
function playEvents(
	maxTokens: number,
	times: readonly number[],
): string | undefined {
	let credit = createEventCredit(maxTokens, 0);
	let newEvents = 0;
	for (const time of times) {
		newEvents += 1;
		credit = spendEvent(credit, maxTokens, time);
		const reason = findStreamFlood({...NO_PROGRESS, newEvents}, credit);
		if (reason !== undefined) {
			return reason;
		}
	}

	return undefined;
}

function createBurst(count: number, at = 0): readonly number[] {
	return Array.from({length: count}, () => at);
}

describe('findStreamFlood', () => {
	// Callers may name fewer tokens than they are sent.
	it('takes no stream at the pace of an engine for a flood', () => {
		fc.assert(
			fc.property(
				fc.nat(100),
				fc.array(fc.integer({min: 1, max: 700}), {maxLength: 2000}),
				(maxTokens, gaps) => {
					let now = 0;
					const times = gaps.map((gap) => {
						now += gap;
						return now;
					});
					expect(playEvents(maxTokens, times)).toBeUndefined();
				},
			),
		);
	});

	it('allows an answer that arrives at once', () => {
		expect(playEvents(60, createBurst(4096))).toBeUndefined();
		expect(playEvents(9000, createBurst(9000))).toBeUndefined();
		expect(playEvents(0, createBurst(LONGEST_ANSWER))).toBeUndefined();
	});

	it('finds events in order at the speed of a link before callers give up', () => {
		const events = Array.from({length: 100_000}, (_, i) =>
			Math.floor(i / LINK_EVENTS_PER_MS),
		);
		expect(playEvents(0, events)).toMatch(/^flood: \d+ events/u);
		expect(playEvents(0, events.slice(0, 200 * LINK_EVENTS_PER_MS))).toMatch(
			/^flood: \d+ events/u,
		);
	});

	it('finds a flood behind a long stream as soon as one at its beginning', () => {
		const hour = Array.from({length: 3600}, (_, i) => i * 1000);
		const times = [...hour, ...createBurst(LONGEST_ANSWER + 1, HOUR_MS)];
		expect(playEvents(0, times)).toBe(
			'flood: 19985 events, more than one a millisecond',
		);
	});

	it('finds comments and repeated events without new ones', () => {
		const credit = createEventCredit(80, 0);
		const progress = {...NO_PROGRESS, idleParts: 1025, idleBytes: 3075};
		expect(findStreamFlood(progress, credit)).toBe(
			'flood: 1025 parts of 3075 bytes without a new event',
		);
		const longer = {...progress, newEvents: 1};
		expect(findStreamFlood(longer, credit)).toBeUndefined();
	});
});
