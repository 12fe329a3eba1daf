import {
	allGuards,
	createRaft,
	defaultSettings,
	stepRaft,
	type JoiningMember,
	type LogEntry,
	type RaftEffect,
	type RaftEvent,
	type RaftGuards,
	type RaftMessage,
	type RaftSettings,
	type RaftState,
	type RecoveredState,
} from '@lovagevalve/consensus';

type Write = Extract<RaftEffect, {kind: 'persist' | 'persist-snapshot'}>;

/** One replica: its process, its disk and its unsynced writes. */
export type LogNode = Readonly<{
	raft: RaftState;
	disk: RecoveredState;
	unsynced: readonly Write[];
}>;

/** Replicas and the history that the invariants need. */
export type LogWorld = Readonly<{
	nodes: readonly LogNode[];
	settings: RaftSettings;
	/** Entries that some replica applied as committed, by index. */
	committed: readonly LogEntry[];
	/** Winners of elections, as `term:replica`. */
	leaders: readonly string[];
	/** Requested reads, each with the highest index committed at that time. */
	reads: Readonly<Record<string, number>>;
	violation?: string;
}>;

/** The world after an event and the messages that the event produced. */
export type Outcome = Readonly<{
	world: LogWorld;
	messages: readonly RaftMessage[];
}>;

/** Time at which untimed models step every replica, in milliseconds. */
export const NOW_MS = 1000;
/** Time at which every timer is due, in milliseconds. */
export const AFTER_ALL_TIMERS_MS = 10_000;
const FAR_PAST_MS = -10_000;
const TIMER_DUE_MS = 5000;

/**
 * Creates the guards with the named ones disabled. Untimed models always disable
 * `preVote` and `checkQuorum`, which only prevent needless elections: without
 * them a model has more behaviours and loses none.
 */
export function createGuards(disabled: readonly string[]): RaftGuards {
	const names = Object.keys(allGuards) as Array<keyof RaftGuards>;
	const off = names.filter((name) => disabled.includes(name));
	return {
		...allGuards,
		preVote: false,
		checkQuorum: false,
		...Object.fromEntries(off.map((name) => [name, false])),
	};
}

/**
 * Creates settings with one entry per append, so that a log can be cut at any
 * entry.
 */
export function createSettings(guards: RaftGuards): RaftSettings {
	return {
		...defaultSettings,
		maxAppendEntries: 1,
		maxInflightAppends: 1,
		trailingEntries: 0,
		guards,
	};
}

/** Creates the member record of a replica. */
export function createMember(replica: string): JoiningMember {
	return {replica, name: replica.slice(0, 1), address: replica};
}

/** Creates a replica with an empty disk. */
export function createEmptyNode(
	replica: string,
	settings: RaftSettings,
): LogNode {
	const disk: RecoveredState = {replica, hardState: {term: 0}, entries: []};
	const raft = createRaft({recovered: disk, settings, seed: 1, now: NOW_MS});
	return {raft, disk, unsynced: []};
}

/** Creates replicas that have formed a group. */
export function createWorld(
	replicas: readonly string[],
	settings: RaftSettings,
): LogWorld {
	const empty: LogWorld = {
		nodes: replicas.map((replica) => createEmptyNode(replica, settings)),
		settings,
		committed: [],
		leaders: [],
		reads: {},
	};
	const members = replicas.map(createMember);
	return replicas.reduce((world, _replica, node) => {
		const event = {kind: 'initialised', group: 'g', members} as const;
		const {world: founded} = stepNode(world, node, {...event, now: NOW_MS});
		return syncNode(founded, node).world;
	}, empty);
}

function writeToDisk(disk: RecoveredState, write: Write): RecoveredState {
	if (write.kind === 'persist-snapshot') {
		return {...disk, snapshot: write.snapshot, entries: []};
	}

	const {truncateAfter = Infinity, entries} = write;
	const kept = disk.entries.filter(({index}) => index <= truncateAfter);
	const hardState = write.hardState ?? disk.hardState;
	return {...disk, hardState, entries: [...kept, ...entries]};
}

function recordViolation(world: LogWorld, violation: string): LogWorld {
	return {...world, violation: world.violation ?? violation};
}

function commitEntry(world: LogWorld, entry: LogEntry): LogWorld {
	const known = world.committed[entry.index - 1];
	if (known === undefined) {
		return {...world, committed: [...world.committed, entry]};
	}

	return JSON.stringify(known) === JSON.stringify(entry)
		? world
		: recordViolation(world, 'a committed entry is never replaced');
}

function recordLeader(
	world: LogWorld,
	replica: string,
	term: number,
): LogWorld {
	const name = `${term}:${replica}`;
	const isRival = world.leaders.some(
		(leader) => leader.startsWith(`${term}:`) && leader !== name,
	);
	const leaders = [...new Set([...world.leaders, name])].toSorted();
	const next = {...world, leaders};
	return isRival ? recordViolation(next, 'a term has one leader') : next;
}

function recordEffect(
	world: LogWorld,
	replica: string,
	effect: RaftEffect,
): LogWorld {
	if (effect.kind === 'apply') {
		return effect.entries.reduce(commitEntry, world);
	}

	if (effect.kind === 'became-leader') {
		return recordLeader(world, replica, effect.term);
	}

	if (effect.kind === 'read-confirmed') {
		return effect.index < (world.reads[effect.read] ?? 0)
			? recordViolation(world, 'a confirmed read is never stale')
			: world;
	}

	return world;
}

/** Resets all times, so that states that differ only in time are equal. */
export function clearTimes(raft: RaftState): RaftState {
	const {role, writes} = raft;
	const progress =
		role.kind === 'leader'
			? Object.fromEntries(
					Object.entries(role.progress).map(([replica, known]) => [
						replica,
						{...known, heardAt: FAR_PAST_MS},
					]),
				)
			: {};
	return {
		...raft,
		role:
			role.kind === 'leader'
				? {...role, progress, heartbeatAt: TIMER_DUE_MS}
				: role,
		leaderHeardAt: FAR_PAST_MS,
		electionAt: TIMER_DUE_MS,
		random: 1,
		writes: writes.pending.length === 0 ? {...writes, issued: 0} : writes,
	};
}

/** Replaces one replica. */
export function replaceNode(
	world: LogWorld,
	node: number,
	replacement: LogNode,
): LogWorld {
	return {...world, nodes: world.nodes.with(node, replacement)};
}

/**
 * Steps a replica with an event; an exception of the step is recorded as a
 * violation.
 */
export function stepNode(
	world: LogWorld,
	node: number,
	event: RaftEvent,
	normalize: (raft: RaftState) => RaftState = clearTimes,
): Outcome {
	const {raft, disk, unsynced} = world.nodes[node]!;
	try {
		const {state, effects} = stepRaft(raft, event);
		const writes = effects.filter(
			(effect) =>
				effect.kind === 'persist' || effect.kind === 'persist-snapshot',
		);
		const messages = effects.flatMap((effect) =>
			effect.kind === 'send' ? [effect.message] : [],
		);
		const next = replaceNode(world, node, {
			raft: normalize(state),
			disk,
			unsynced: [...unsynced, ...writes],
		});
		const observed = effects.reduce(
			(seen, effect) => recordEffect(seen, disk.replica, effect),
			next,
		);
		return {world: observed, messages};
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return {world: recordViolation(world, reason), messages: []};
	}
}

/** Writes a replica's unsynced writes to its disk. */
export function syncNode(
	world: LogWorld,
	node: number,
	now = NOW_MS,
	normalize: (raft: RaftState) => RaftState = clearTimes,
): Outcome {
	const {raft, disk, unsynced} = world.nodes[node]!;
	const last = unsynced.at(-1);
	if (last === undefined) {
		return {world, messages: []};
	}

	const synced = replaceNode(world, node, {
		raft,
		disk: unsynced.reduce(writeToDisk, disk),
		unsynced: [],
	});
	const {sequence} = last;
	return stepNode(synced, node, {kind: 'synced', now, sequence}, normalize);
}

/** Restarts a replica from its disk; unsynced writes are lost. */
export function restartNode(world: LogWorld, node: number): LogWorld {
	const {disk} = world.nodes[node]!;
	const {settings} = world;
	const raft = createRaft({recovered: disk, settings, seed: 1, now: NOW_MS});
	return replaceNode(world, node, {raft: clearTimes(raft), disk, unsynced: []});
}

/** Index of the replica that a message is addressed to; -1 if there is none. */
export function findTarget(world: LogWorld, message: RaftMessage): number {
	return world.nodes.findIndex(({disk}) => disk.replica === message.to);
}
