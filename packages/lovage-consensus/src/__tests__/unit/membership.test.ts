import {expect, test} from 'vitest';
import {
	createRaft,
	defaultSettings,
	readMembers,
	stepRaft,
	type RaftMessage,
} from '../../index.js';
import {createCluster} from './cluster.js';
import {
	createClusterWithLeader,
	isolate,
	SETTLE_LIMIT_MS,
} from './cluster-with-leader.js';

test('a join under the name of a live voter is refused', () => {
	const cluster = createClusterWithLeader(7);
	const leader = cluster.findLeader()!;
	const member = {replica: 'new', name: 'b', address: 'b'};
	const now = cluster.now();
	cluster.feedEvent(leader, {kind: 'join-requested', now, member});
	expect(cluster.outcomes.at(-1)).toMatchObject({outcome: 'name-in-use'});
	expect(readMembers(leader.state!)).toHaveLength(3);
});

test('a voter that lost its disk is replaced through a learner, for two voters in turn', () => {
	const cluster = createClusterWithLeader(8);
	const counts: number[] = [];
	['a', 'b'].forEach((name) => {
		cluster.loseDisk(cluster.findNode(name));
		cluster.start(cluster.findNode(name));
		const isReplaced = (): boolean => {
			const {state} = cluster.findLeader() ?? {};
			const members = state === undefined ? [] : readMembers(state);
			counts.push(members.filter(({voter}) => voter).length);
			return cluster.hasAllVoters();
		};

		expect(cluster.advanceUntil(isReplaced, SETTLE_LIMIT_MS)).toBe(true);
	});
	const voters = counts.filter((count) => count > 0);
	expect(Math.max(...voters)).toBe(3);
	expect(Math.min(...voters)).toBe(2);
	expect(cluster.violations).toEqual([]);
});

test('a learner is added again after its membership entry was lost with the leader', () => {
	const cluster = createClusterWithLeader(11);
	const leader = cluster.findLeader()!;
	const lost = cluster.nodes.find((node) => node !== leader)!;
	cluster.loseDisk(lost);
	cluster.advance(2000);
	leader.isDiskStalled = true;
	cluster.start(lost);
	const isAssigned = (): boolean => lost.state!.role.kind === 'follower';
	expect(cluster.advanceUntil(isAssigned, SETTLE_LIMIT_MS)).toBe(true);
	// The leader crashes before its own write of the membership entry is stored.
	leader.unsynced = [];
	leader.isDiskStalled = false;
	cluster.crash(leader);
	cluster.start(leader);
	expect(
		cluster.advanceUntil(() => cluster.hasAllVoters(), SETTLE_LIMIT_MS),
	).toBe(true);
	expect(cluster.violations).toEqual([]);
});

test.each(['down', 'restarted from a snapshot', 'cut off'] as const)(
	'a voter that was removed while it was %s is taken in again',
	(outage) => {
		const cluster = createCluster(['a', 'b', 'c', 'd', 'e'], 13);
		cluster.initialise();
		expect(
			cluster.advanceUntil(() => cluster.hasAllVoters(), SETTLE_LIMIT_MS),
		).toBe(true);
		const leader = cluster.findLeader()!;
		const lost = cluster.nodes.find((node) => node !== leader)!;
		const {replica} = lost.disk;
		cluster.propose(leader, 'p', ['x']);
		cluster.advance(2000);
		if (outage === 'cut off') {
			isolate(cluster, lost.name);
		} else {
			if (outage === 'restarted from a snapshot') {
				cluster.snapshot(lost);
				cluster.advance(1000);
				expect(lost.disk.snapshot).toBeDefined();
			}

			cluster.crash(lost);
		}

		cluster.advance(2000);
		const now = cluster.now();
		cluster.feedEvent(leader, {kind: 'removal-requested', now, replica});
		cluster.advance(2000);
		expect(readMembers(leader.state!)).toHaveLength(4);
		if (outage === 'cut off') {
			cluster.cutLinks.clear();
		} else {
			cluster.start(lost);
		}

		expect(
			cluster.advanceUntil(() => cluster.hasAllVoters(), SETTLE_LIMIT_MS),
		).toBe(true);
		expect(cluster.violations).toEqual([]);
	},
);

test('a replica without a group neither answers vote requests nor starts an election', () => {
	const state = createRaft({
		recovered: {replica: 'a', hardState: {term: 0}, entries: []},
		settings: defaultSettings,
		seed: 1,
		now: 0,
	});
	const message: RaftMessage = {
		kind: 'vote',
		group: 'g',
		from: 'b',
		to: 'a',
		term: 9,
		lastIndex: 9,
		lastTerm: 9,
		transfer: false,
	};
	const voted = stepRaft(state, {kind: 'received', now: 0, message});
	const late = stepRaft(voted.state, {kind: 'ticked', now: 1e6});
	expect(voted.effects).toEqual([]);
	expect(late.effects).toEqual([]);
});
