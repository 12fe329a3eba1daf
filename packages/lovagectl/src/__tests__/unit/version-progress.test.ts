import {expect, test} from 'vitest';
import {
	isInForce,
	getEntryVersionStatus,
	type Progress,
} from '../../version-progress.js';

function createProgress(
	version: number,
	entries: ReadonlyArray<readonly [number, number]>,
): Progress {
	return {
		kind: 'progress',
		version,
		inForceEverywhere: entries.every(
			([applied, leaseMs]) => applied >= version || leaseMs === 0,
		),
		entries: entries.map(([appliedVersion, leaseRemainingMs], i) => ({
			entry: {
				id: `entry-${i}`,
				address: 'http://127.0.0.1:1',
				dataCentre: 'north',
				state: 'serving',
				incarnation: 'first',
			},
			appliedVersion,
			leaseRemainingMs,
		})),
	};
}

const NEW_LEADER: Progress = {
	...createProgress(3, []),
	inForceEverywhere: false,
};

test.each([
	[
		'every entry has applied the version',
		createProgress(2, [[2, 900]]),
		2,
		true,
	],
	[
		'one entry has an older version',
		createProgress(2, [
			[2, 900],
			[1, 900],
		]),
		2,
		false,
	],
	[
		'the lease of the outdated entry expired',
		createProgress(2, [
			[2, 900],
			[1, 0],
		]),
		2,
		true,
	],
	['a newer version is in force', createProgress(3, [[3, 900]]), 2, true],
	[
		'a newer version is not in force everywhere',
		createProgress(3, [[2, 900]]),
		2,
		false,
	],
	['a new leader waits until earlier leases expire', NEW_LEADER, 2, false],
	['the version is not accepted yet', createProgress(1, [[1, 900]]), 2, false],
])('%s', (_title, progress, version, expected) => {
	expect(isInForce(progress, version)).toBe(expected);
});

test('an entry with an expired lease counts as stopped regardless of its version', () => {
	const [entry] = createProgress(2, [[2, 0]]).entries;
	expect(getEntryVersionStatus(entry!, 2)).toBe('stopped');
});
