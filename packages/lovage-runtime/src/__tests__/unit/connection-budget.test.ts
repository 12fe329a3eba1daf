// Guards against connections that take the descriptors that a process needs itself.
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	computeDescriptorLimit,
	decideConnection,
	type ListenerName,
} from '../../index.js';

const PROGRAMS: readonly ListenerName[][] = [
	['callers', 'directory', 'readiness', 'metrics'],
	['control', 'instances', 'directory', 'metrics'],
];
/** Descriptors of Node.js, and of connections to each of five control instances. */
const NEEDED = 40;

describe('the bound of connections', () => {
	it.each(PROGRAMS)(
		'leaves descriptors for the rest of the process: %s',
		(...listeners) => {
			fc.assert(
				fc.property(fc.integer({min: 128, max: 100_000}), (max) => {
					const sum = listeners
						.map((listener) => computeDescriptorLimit(listener, max))
						.reduce((total, limit) => total + limit, 0);
					expect(max - sum).toBeGreaterThanOrEqual(NEEDED);
				}),
			);
		},
	);

	it.each(PROGRAMS.flat())(
		'holds at %s whoever connects, sends and ends requests',
		(listener) => {
			const limit = computeDescriptorLimit(listener, 150);
			const perBusy = listener === 'callers' ? 2 : 1;
			fc.assert(
				fc.property(fc.nat({max: 300}), fc.nat({max: 300}), (idle, busy) => {
					const decision = decideConnection(
						{listener, open: idle + busy + 1, idle, busy},
						limit,
					);
					const needed = busy * perBusy + 1;
					switch (decision.kind) {
						case 'reject': {
							// Only requests under way keep a connection out.
							expect(needed).toBeGreaterThan(limit);
							break;
						}

						case 'admit': {
							const left = idle - decision.closedIdle;
							expect(left).toBeGreaterThanOrEqual(0);
							expect(needed + left).toBeLessThanOrEqual(limit);
							if (decision.closedIdle > 0) {
								expect(needed + left).toBe(limit);
							}

							break;
						}
					}
				}),
			);
		},
	);
});
