import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decideDrainAdmission} from '../../drain-admission.js';

const stream = {allowedMs: 25_000, isResumable: true, hasOthers: true};

describe('admission of requests to a draining instance', () => {
	it('takes what was over in time lately', () => {
		expect(
			decideDrainAdmission({...stream, leftMs: 7000, longestMs: 5000}).kind,
		).toBe('accept');
	});

	it('refuses what takes longer than the time that is left', () => {
		expect(
			decideDrainAdmission({...stream, leftMs: 4700, longestMs: 5000}),
		).toEqual({kind: 'refuse', neededMs: 6250, retryAfterMs: 50});
	});

	it('goes by the deadline while little is known of the route', () => {
		expect(decideDrainAdmission({...stream, leftMs: 7000}).kind).toBe('refuse');
		expect(
			decideDrainAdmission({...stream, allowedMs: 1000, leftMs: 7000}).kind,
		).toBe('accept');
	});

	// Calls of 50 ms to 7 s share a route; a long one among short ones was cut.
	it('goes by the deadline of what no caller can take up', () => {
		const call = {...stream, isResumable: false, longestMs: 60};
		expect(
			decideDrainAdmission({...call, allowedMs: 7000, leftMs: 6900}).kind,
		).toBe('refuse');
		expect(
			decideDrainAdmission({...call, allowedMs: 1000, leftMs: 1100}).kind,
		).toBe('accept');
	});

	it('names the restart when no other instance serves', () => {
		expect(
			decideDrainAdmission({...stream, hasOthers: false, leftMs: 2000}),
		).toMatchObject({kind: 'refuse', retryAfterMs: 3500});
	});

	it('takes nothing that may outlast the process', () => {
		fc.assert(
			fc.property(
				fc.integer({min: -1000, max: 30_000}),
				fc.integer({min: 1, max: 30_000}),
				fc.option(fc.integer({min: 0, max: 30_000}), {nil: undefined}),
				fc.boolean(),
				(leftMs, allowedMs, longestMs, isResumable) => {
					const decision = decideDrainAdmission({
						leftMs,
						allowedMs,
						longestMs,
						isResumable,
						hasOthers: true,
					});
					const endsInTime =
						(isResumable
							? Math.min(allowedMs, longestMs ?? Infinity)
							: allowedMs) < leftMs;
					return decision.kind === 'refuse' || endsInTime;
				},
			),
		);
	});
});
