import {createRaft, defaultSettings, type Member} from '@lovagevalve/consensus';
import {describe, expect, it} from 'vitest';
import {findFailedVoter} from '../../index.js';

const NOW = 100_000;

function createMembers(count: number): readonly Member[] {
	return Array.from({length: count}, (_, i) => ({
		replica: `r${i}`,
		name: `control-${i}`,
		address: `10.0.0.${i + 1}:7200`,
		voter: true,
	}));
}

type Case = Readonly<{
	voters: number;
	tolerated: number;
	silentMs: Readonly<Record<string, number>>;
	leaving?: readonly string[];
	removed: string | undefined;
}>;

function removeAtLeader({
	voters,
	tolerated,
	silentMs,
	leaving = [],
}: Case): string | undefined {
	const members = createMembers(voters);
	const state = createRaft({
		recovered: {
			replica: 'r0',
			hardState: {group: 'g', term: 1, vote: 'r0'},
			entries: [],
		},
		settings: defaultSettings,
		seed: 1,
		now: NOW,
	});
	const progress = Object.fromEntries(
		members.slice(1).map(({replica}) => [
			replica,
			{
				matchIndex: 0,
				nextIndex: 1,
				inflight: [],
				round: 0,
				heardAt: NOW - (silentMs[replica] ?? 0),
			},
		]),
	);
	return findFailedVoter(
		{
			...state,
			role: {kind: 'leader', progress},
		} as unknown as Parameters<typeof findFailedVoter>[0],
		{members, tolerated, leaving: new Set(leaving), now: NOW},
	);
}

describe('a voter is removed', () => {
	it.each<Case>([
		// Four voters, of which three have to answer, don't survive the next loss, which
		// may follow 4 s after the start of the successor.
		{voters: 4, tolerated: 1, silentMs: {r2: 2100}, removed: 'r2'},
		{voters: 4, tolerated: 1, silentMs: {r2: 1900}, removed: undefined},
		{voters: 4, tolerated: 1, silentMs: {}, leaving: ['r3'], removed: 'r3'},
		{voters: 3, tolerated: 1, silentMs: {r2: 60_000}, removed: undefined},
		{
			voters: 3,
			tolerated: 1,
			silentMs: {},
			leaving: ['r1'],
			removed: undefined,
		},
		{voters: 6, tolerated: 2, silentMs: {r5: 2100}, removed: 'r5'},
		// A majority of three or four voters could lose its disks.
		{voters: 5, tolerated: 2, silentMs: {r1: 60_000}, removed: undefined},
		{voters: 4, tolerated: 2, silentMs: {r1: 60_000}, removed: undefined},
	])(
		'$removed, of $voters with $tolerated tolerated, silent $silentMs, leaving $leaving',
		(one) => {
			expect(removeAtLeader(one)).toBe(one.removed);
		},
	);
});
