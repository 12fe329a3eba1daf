// Guards against departures that are acknowledged and then lost with the only instance
// that knows them.
import {describe, expect, it} from 'vitest';
import {
	awaitCopies,
	type CopyAttempts,
	countRequiredCopies,
	decideCopies,
} from '../../departure-copies.js';

it.each([
	[1, 2, 2],
	[2, 4, 3],
	[0, 2, 1],
	// A group of one has no other instance.
	[1, 0, 1],
])(
	'with %i disks that may be lost and %i others, %i copies are required',
	(tolerated, peers, copies) => {
		expect(countRequiredCopies({tolerated, peers})).toBe(copies);
	},
);

it.each<[string, CopyAttempts, string]>([
	['there are enough', {stored: 2, pending: 1, required: 2}, 'acknowledge'],
	['enough may follow', {stored: 1, pending: 1, required: 2}, 'wait'],
	['too few can follow', {stored: 1, pending: 0, required: 2}, 'refuse'],
])('the answer when %s', (_, attempts, expected) => {
	expect(decideCopies(attempts)).toBe(expected);
});

describe('attempts to store a departure', () => {
	const never = Promise.race<boolean>([]);

	it('suffice without the slowest one', async () => {
		const stored = Promise.resolve(true);
		expect(await awaitCopies([stored, never, stored], 2)).toBe(true);
	});

	it('fail as soon as too few are left', async () => {
		const failed = Promise.resolve(false);
		expect(await awaitCopies([failed, never, failed], 2)).toBe(false);
	});
});
