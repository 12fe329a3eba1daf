import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	addLatency,
	quantiseLatency,
	summariseLatencies,
	type LatencyCounts,
} from '../../latency-counts.js';

test('rounds up to two significant digits', () => {
	fc.assert(
		fc.property(fc.double({min: 0, max: 1e7, noNaN: true}), (ms) => {
			const kept = quantiseLatency(ms);
			expect(kept).toBeGreaterThanOrEqual(ms);
			expect(kept).toBeLessThanOrEqual(Math.ceil(ms) * 1.1 + 1);
			expect(quantiseLatency(kept)).toBe(kept);
		}),
		{seed: 3},
	);
});

test('bounds the number of distinct latencies', () => {
	const kept = Array.from({length: 200_000}, (_, i) =>
		quantiseLatency(i * 500),
	);
	expect(new Set(kept).size).toBeLessThan(700);
});

test('computes percentiles', () => {
	const waits = Array.from({length: 100}, (_, i) => (i + 1) * 10);
	const counts = waits.reduce<LatencyCounts>(addLatency, {});
	expect(summariseLatencies(counts)).toEqual({
		count: 100,
		p50: 500,
		p95: 950,
		p99: 990,
		max: 1000,
	});
	expect(summariseLatencies({})).toBeUndefined();
});
