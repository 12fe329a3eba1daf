import {expect, test} from 'vitest';
import {
	createRaft,
	defaultSettings,
	readLastIndex,
	readMembers,
	stepRaft,
	type RaftEffect,
	type RaftMessage,
} from '../../index.js';
import {
	createClusterWithLeader,
	isolate,
	SETTLE_LIMIT_MS,
} from './cluster-with-leader.js';

function listKinds(
	effects: readonly RaftEffect[],
): ReadonlyArray<RaftEffect['kind']> {
	return effects.map(({kind}) => kind);
}

/** Creates a follower in a group of two that has received an append but not synced it. */
function createFollower() {
	const members = ['a', 'b'].map((name) => ({
		replica: name,
		name,
		address: name,
	}));
	const state = createRaft({
		recovered: {replica: 'a', hardState: {term: 0}, entries: []},
		settings: defaultSettings,
		seed: 1,
		now: 0,
	});
	const founding = {kind: 'initialised', group: 'g', members, now: 0} as const;
	const founded = stepRaft(state, founding);
	const sequence = founded.state.writes.issued;
	const synced = stepRaft(founded.state, {kind: 'synced', now: 0, sequence});
	const message: RaftMessage = {
		kind: 'append',
		group: founded.state.hardState.group!,
		from: 'b',
		to: 'a',
		term: 2,
		previousIndex: 1,
		previousTerm: 1,
		entries: [{kind: 'noop', index: 2, term: 2}],
		commitIndex: 1,
		round: 0,
	};
	return stepRaft(synced.state, {kind: 'received', now: 0, message});
}

test('an isolated leader commits nothing, refuses reads and steps down', () => {
	const cluster = createClusterWithLeader(1);
	const leader = cluster.findLeader()!;
	const {commitIndex} = leader.state!;
	isolate(cluster, leader.name);
	cluster.propose(leader, 'p', ['lost']);
	cluster.requestRead(leader, 'r');
	const isFollower = (): boolean => leader.state!.role.kind !== 'leader';
	expect(cluster.advanceUntil(isFollower, SETTLE_LIMIT_MS)).toBe(true);
	expect(leader.state!.commitIndex).toBe(commitIndex);
	const answers = cluster.outcomes.filter(
		(effect) => 'read' in effect && effect.read === 'r',
	);
	expect(listKinds(answers)).toEqual(['read-refused']);
});

test('an isolated leader remains leader without checkQuorum', () => {
	const cluster = createClusterWithLeader(1, {checkQuorum: false});
	const leader = cluster.findLeader()!;
	isolate(cluster, leader.name);
	cluster.requestRead(leader, 'r');
	cluster.advance(SETTLE_LIMIT_MS);
	expect(leader.state!.role.kind).toBe('leader');
	expect(listKinds(cluster.outcomes)).not.toContain('read-refused');
});

test('a leader checks its quorum after a pause before it accepts a proposal', () => {
	const cluster = createClusterWithLeader(2);
	const {state} = cluster.findLeader()!;
	const now = cluster.now() + defaultSettings.electionTimeoutMs;
	const proposed = {kind: 'proposed', proposal: 'p', commands: ['x']} as const;
	const {effects} = stepRaft(state!, {...proposed, now});
	expect(listKinds(effects)).toEqual(['stepped-down', 'proposal-refused']);
});

test('a follower acknowledges an append only after it is synced', () => {
	const {state, effects} = createFollower();
	expect(listKinds(effects)).toEqual(['persist', 'apply']);
	const sequence = state.writes.issued;
	const synced = stepRaft(state, {kind: 'synced', now: 0, sequence});
	expect(synced.effects).toMatchObject([
		{kind: 'send', message: {kind: 'append-answer', matchIndex: 2}},
	]);
});

test('commands of one proposal share one write and one append per replica', () => {
	const cluster = createClusterWithLeader(3);
	const {state} = cluster.findLeader()!;
	const {effects} = stepRaft(state!, {
		kind: 'proposed',
		now: cluster.now(),
		proposal: 'p',
		commands: ['1', '2', '3'],
	});
	expect(listKinds(effects)).toEqual([
		'persist',
		'proposal-accepted',
		'send',
		'send',
	]);
});

test('the append window and the number of uncommitted entries are limited', () => {
	const cluster = createClusterWithLeader(4);
	const leader = cluster.findLeader()!;
	isolate(cluster, leader.name);
	const sent = cluster.outcomes.length;
	const {maxUncommittedEntries} = defaultSettings;
	const proposals = Math.ceil(maxUncommittedEntries / 500) + 1;
	Array.from({length: proposals}).forEach((_, position) => {
		const commands = Array.from({length: 500}, () => 'x');
		cluster.propose(leader, `p${position}`, commands);
	});
	const effects = cluster.outcomes.slice(sent);
	const kinds = listKinds(effects);
	expect(kinds.filter((kind) => kind === 'send')).toHaveLength(6);
	expect(effects.at(-1)).toMatchObject({
		kind: 'proposal-refused',
		reason: 'overloaded',
	});
});

test('a replica that is far behind receives a snapshot even if pieces are lost', () => {
	const cluster = createClusterWithLeader(5);
	const leader = cluster.findLeader()!;
	const behind = cluster.nodes.find((node) => node !== leader)!;
	cluster.crash(behind);
	const commands = Array.from({length: 60}, (_, position) => `c${position}`);
	cluster.propose(leader, 'p', commands);
	const isApplied = (): boolean => leader.commands.length === 60;
	expect(cluster.advanceUntil(isApplied, SETTLE_LIMIT_MS)).toBe(true);
	cluster.snapshot(leader);
	cluster.start(behind);
	const hasPiece = (): boolean =>
		(behind.state!.incoming?.pieces.length ?? 0) > 0;
	expect(cluster.advanceUntil(hasPiece, SETTLE_LIMIT_MS)).toBe(true);
	const link = `${leader.name}>${behind.name}`;
	cluster.cutLinks.add(link);
	cluster.advance(500);
	cluster.cutLinks.delete(link);
	const isCaughtUp = (): boolean => behind.commands.length === 60;
	expect(cluster.advanceUntil(isCaughtUp, SETTLE_LIMIT_MS)).toBe(true);
	expect(behind.commands).toEqual(commands);
	expect(behind.state!.log.baseIndex).toBeGreaterThan(40);
});

test('a replica recovers from a log of 300,000 entries', () => {
	const entries = Array.from({length: 300_000}, (_, position) => ({
		kind: 'noop' as const,
		index: position + 1,
		term: 1,
	}));
	const {log} = createRaft({
		recovered: {replica: 'a', hardState: {term: 1, group: 'g'}, entries},
		settings: defaultSettings,
		seed: 1,
		now: 0,
	});
	expect(readLastIndex(log)).toBe(entries.length);
});

test('a leadership transfer completes without waiting for an election timeout', () => {
	const cluster = createClusterWithLeader(6);
	const leader = cluster.findLeader()!;
	const {term} = leader.state!.hardState;
	const now = cluster.now();
	cluster.feedEvent(leader, {kind: 'transfer-requested', now});
	const hasNewLeader = (): boolean => {
		const next = cluster.findLeader();
		return next !== undefined && next !== leader;
	};

	expect(cluster.advanceUntil(hasNewLeader, SETTLE_LIMIT_MS)).toBe(true);
	expect(cluster.findLeader()!.state!.hardState.term).toBe(term + 1);
	const duration = cluster.now() - now;
	expect(duration).toBeLessThan(defaultSettings.electionTimeoutMs);
});

test('an idle group sends only one heartbeat per follower and interval', () => {
	const cluster = createClusterWithLeader(9);
	cluster.advance(5000);
	const sent = cluster.outcomes.length;
	cluster.advance(10_000);
	const effects = cluster.outcomes.slice(sent);
	const intervals = 10_000 / defaultSettings.heartbeatIntervalMs;
	const heartbeats = effects.filter(
		(effect) => effect.kind === 'send' && effect.message.kind === 'append',
	);
	expect(new Set(listKinds(effects))).toEqual(new Set(['send']));
	expect(heartbeats.length).toBeLessThanOrEqual(intervals * 2);
});

test('a snapshot compacts the log and keeps the trailing entries', () => {
	const cluster = createClusterWithLeader(10);
	const leader = cluster.findLeader()!;
	cluster.propose(leader, 'p', ['1', '2', '3', '4', '5', '6']);
	const isApplied = (): boolean => leader.commands.length === 6;
	expect(cluster.advanceUntil(isApplied, SETTLE_LIMIT_MS)).toBe(true);
	const lastIndex = readLastIndex(leader.state!.log);
	cluster.snapshot(leader);
	const {log, snapshot} = leader.state!;
	expect(snapshot!.index).toBe(lastIndex);
	expect(log.baseIndex).toBe(lastIndex - 2);
	expect(readLastIndex(log)).toBe(lastIndex);
	expect(readMembers(leader.state!)).toHaveLength(3);
});
