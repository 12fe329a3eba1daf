import {readMembers, type LogEntry, type Member} from '@lovagevalve/consensus';
import {explore, type ModelEvent} from './explore.js';
import {holdElection, exchange} from './log-model-exchange.js';
import {createWorldKey} from './log-model-key.js';
import {
	createEmptyNode,
	createGuards,
	createMember,
	createSettings,
	createWorld,
	stepNode,
	NOW_MS,
	replaceNode,
	type LogWorld,
} from './log-model-world.js';
import type {Model} from './model.js';

const REPLICAS = ['a', 'b', 'c'];
const NODES = REPLICAS.map((_, node) => node);
const PAIRS = NODES.flatMap((first) =>
	NODES.filter((second) => second !== first).map(
		(second) => [first, second] as const,
	),
);
/** Enough messages for a replica to catch up from an empty log. */
const EXCHANGE_MESSAGES = 16;

type Bounds = Readonly<{
	elections: number;
	losses: number;
	removals: number;
}>;

type State = Readonly<{world: LogWorld; remaining: Bounds}>;

type Event = ModelEvent &
	(
		| Readonly<{type: 'elect'; candidate: number; voter: number}>
		| Readonly<{type: 'exchange'; leader: number; follower: number}>
		| Readonly<{type: 'lose disk'; node: number}>
		| Readonly<{type: 'join'; leader: number; node: number}>
		| Readonly<{type: 'remove'; leader: number; replica: string}>
	);

type MembershipEntry = Extract<LogEntry, {kind: 'membership'}>;

function isMembershipEntry(entry: LogEntry): entry is MembershipEntry {
	return entry.kind === 'membership';
}

function listReplicas(world: LogWorld): readonly string[] {
	return world.nodes.map(({disk}) => disk.replica);
}

/**
 * Whether every committed member is a voter whose disk still exists; only then
 * may one be lost.
 */
function areVoterDisksIntact(world: LogWorld): boolean {
	const members = world.committed.findLast(isMembershipEntry)?.members ?? [];
	const replicas = listReplicas(world);
	return members.every(
		({replica, voter}) => voter && replicas.includes(replica),
	);
}

function isLeader(world: LogWorld, node: number): boolean {
	return world.nodes[node]!.raft.role.kind === 'leader';
}

/** A replica asks to join if it has no group or the leader has removed it. */
function shouldJoin(world: LogWorld, leader: number, node: number): boolean {
	const {raft} = world.nodes[node]!;
	const members = readMembers(world.nodes[leader]!.raft);
	const isMember = members.some(({replica}) => replica === raft.replica);
	return raft.role.kind === 'unassigned' || !isMember;
}

function listEvents({world, remaining}: State): readonly Event[] {
	const leaderPairs = PAIRS.filter(([leader]) => isLeader(world, leader));
	return [
		...PAIRS.filter(
			([candidate]) => remaining.elections > 0 && !isLeader(world, candidate),
		).map(([candidate, voter]): Event => ({type: 'elect', candidate, voter})),
		...leaderPairs.map(([leader, follower]): Event => ({
			type: 'exchange',
			leader,
			follower,
		})),
		...leaderPairs
			.filter(([leader, node]) => shouldJoin(world, leader, node))
			.map(([leader, node]): Event => ({type: 'join', leader, node})),
		...leaderPairs
			.filter(() => remaining.removals > 0)
			.map(([leader, node]): Event => ({
				type: 'remove',
				leader,
				replica: world.nodes[node]!.disk.replica,
			})),
		...NODES.filter(
			() => remaining.losses > 0 && areVoterDisksIntact(world),
		).map((node): Event => ({type: 'lose disk', node})),
	];
}

function loseDisk(world: LogWorld, node: number): LogWorld {
	const {replica} = world.nodes[node]!.disk;
	const name = replica.slice(0, 1);
	const identity = world.settings.guards.newIdentityAfterLostDisk
		? `${name}${Number(replica.slice(1)) + 1}`
		: replica;
	return replaceNode(world, node, createEmptyNode(identity, world.settings));
}

function hasEntry(world: LogWorld, replica: string, index: number): boolean {
	const node = world.nodes.find(({disk}) => disk.replica === replica);
	return (
		node === undefined ||
		node.disk.entries.some((entry) => entry.index === index)
	);
}

/**
 * Checks that a replica becomes a voter only after it holds the entry that
 * added it.
 */
function checkNewVoters(world: LogWorld): LogWorld {
	const hasUnpreparedVoter = world.nodes.some(({raft}) => {
		const [before, last] = raft.log.memberships.slice(-2);
		const isFounding = before?.members.length === 0;
		if (before === undefined || last === undefined || isFounding) {
			return false;
		}

		const wasVoter = ({replica}: Member): boolean =>
			before.members.some((old) => old.replica === replica && old.voter);
		return last.members
			.filter((member) => member.voter && !wasVoter(member))
			.some(({replica}) => !hasEntry(world, replica, before.index));
	});
	return hasUnpreparedVoter && world.violation === undefined
		? {...world, violation: 'a new voter has caught up'}
		: world;
}

function applyEvent(world: LogWorld, event: Event): LogWorld {
	switch (event.type) {
		case 'elect': {
			return holdElection(world, event.candidate, event.voter);
		}

		case 'exchange': {
			const pair = [event.leader, event.follower] as const;
			return exchange(world, pair, EXCHANGE_MESSAGES);
		}

		case 'lose disk': {
			return loseDisk(world, event.node);
		}

		case 'join': {
			const member = createMember(world.nodes[event.node]!.disk.replica);
			const request = {kind: 'join-requested', now: NOW_MS, member} as const;
			return stepNode(world, event.leader, request).world;
		}

		case 'remove': {
			const {replica} = event;
			const request = {
				kind: 'removal-requested',
				now: NOW_MS,
				replica,
			} as const;
			return stepNode(world, event.leader, request).world;
		}
	}
}

function step({world, remaining}: State, event: Event): State {
	return {
		world: checkNewVoters(applyEvent(world, event)),
		remaining: {
			elections: remaining.elections - (event.type === 'elect' ? 1 : 0),
			losses: remaining.losses - (event.type === 'lose disk' ? 1 : 0),
			removals: remaining.removals - (event.type === 'remove' ? 1 : 0),
		},
	};
}

function createModel(
	name: string,
	guards: readonly string[],
	bounds: Bounds,
): Model {
	return {
		name,
		guards,
		bounds: `${REPLICAS.length} replicas, ${bounds.elections + 1} elections, ${bounds.losses} lost disks, ${bounds.removals} removals`,
		run(disabledGuards) {
			const settings = createSettings(createGuards(disabledGuards));
			const initialWorld = createWorld(REPLICAS, settings);
			return explore<State, Event>({
				// The replicas are symmetric, so it doesn't matter which one wins
				// first.
				initial: {world: holdElection(initialWorld, 0, 1), remaining: bounds},
				events: listEvents,
				step,
				findViolation: ({world}) => world.violation,
				createKey: ({world, remaining}) =>
					`${JSON.stringify(remaining)} ${createWorldKey(world)}`,
			});
		},
	};
}

/** Removal of members while the leader changes. */
export const logRemovalModel: Model = createModel(
	'log: removals',
	['oneChangeAtATime'],
	{elections: 1, losses: 0, removals: 2},
);

/** Disks that are lost and replaced one after another. */
export const logLostDiskModel: Model = createModel(
	'log: lost disks',
	['newIdentityAfterLostDisk', 'learnerBeforeVoter'],
	{elections: 1, losses: 2, removals: 0},
);
