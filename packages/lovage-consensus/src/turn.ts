import {createTransition, type Transition} from '@lovagevalve/core';
import type {RaftEffect} from './events.js';
import {
	appendEntries,
	readLastIndex,
	sliceEntries,
	truncateLog,
} from './log.js';
import type {RaftMessage} from './messages.js';
import type {PendingWrite, RaftState} from './state.js';
import type {HardState, LogEntry, ReplicaId, Snapshot} from './types.js';

/** Work on one event: the state so far and what is to be done about it. */
export type Turn = Readonly<{
	now: number;
	before: RaftState;
	state: RaftState;
	effects: readonly RaftEffect[];
	/** The log differs from the one before after this index. */
	changedAfter?: number;
	snapshotWrite?: Readonly<{snapshot: Snapshot; replacesLog: boolean}>;
	/** Messages that promise something which must be on disk first. */
	promises: readonly RaftMessage[];
}>;

type Head = 'group' | 'from' | 'term';

/** A message without what each message of a replica has in common. */
export type MessageBody = RaftMessage extends infer Message
	? Message extends RaftMessage
		? Omit<Message, Head> & Readonly<{term?: number}>
		: never
	: never;

/** Begins the work on an event. */
export function beginTurn(state: RaftState, now: number): Turn {
	return {now, before: state, state, effects: [], promises: []};
}

/** Changes parts of the state. */
export function update(turn: Turn, patch: Partial<RaftState>): Turn {
	return {...turn, state: {...turn.state, ...patch}};
}

/** Adds effects. */
export function emit(turn: Turn, ...effects: readonly RaftEffect[]): Turn {
	return {...turn, effects: [...turn.effects, ...effects]};
}

/** Completes a message of this replica; its own term unless one is given. */
export function createMessage(
	state: RaftState,
	body: MessageBody,
): RaftMessage {
	const head = {
		group: state.hardState.group ?? '',
		from: state.replica,
		term: body.term ?? state.hardState.term,
	};
	return {...body, ...head};
}

/** Sends a message that rests on nothing unsynced. */
export function send(turn: Turn, body: MessageBody): Turn {
	return emit(turn, {kind: 'send', message: createMessage(turn.state, body)});
}

/** Sends a message once all that is decided by now is synced. */
export function sendWhenSynced(turn: Turn, body: MessageBody): Turn {
	const message = createMessage(turn.state, body);
	return {...turn, promises: [...turn.promises, message]};
}

/** Changes what must be remembered about elections. */
export function updateHardState(turn: Turn, hardState: HardState): Turn {
	return update(turn, {hardState});
}

function clampWrites(
	writes: RaftState['writes'],
	lastIndex: number,
): RaftState['writes'] {
	return {
		...writes,
		syncedIndex: Math.min(writes.syncedIndex, lastIndex),
		pending: writes.pending.map((write) => ({
			...write,
			lastIndex: Math.min(write.lastIndex, lastIndex),
		})),
	};
}

/** Replaces what the log holds after an index. */
export function replaceTail(
	turn: Turn,
	after: number,
	entries: readonly LogEntry[],
): Turn {
	const {log, writes} = turn.state;
	const isTruncated = after < readLastIndex(log);
	const next = update(turn, {
		log: appendEntries(truncateLog(log, after), entries),
		writes: isTruncated ? clampWrites(writes, after) : writes,
	});
	return {...next, changedAfter: Math.min(turn.changedAfter ?? after, after)};
}

/** Appends one entry or more of this replica's own. */
export function appendOwn(turn: Turn, entries: readonly LogEntry[]): Turn {
	return replaceTail(turn, readLastIndex(turn.state.log), entries);
}

/** Stores a snapshot; if it replaces the log, nothing of the log counts as synced. */
export function storeSnapshot(
	turn: Turn,
	snapshot: Snapshot,
	replacesLog: boolean,
): Turn {
	const {writes} = turn.state;
	const next = update(turn, {
		snapshot,
		writes: replacesLog ? clampWrites(writes, 0) : writes,
	});
	return {...next, snapshotWrite: {snapshot, replacesLog}};
}

type Write = Extract<RaftEffect, {kind: 'persist' | 'persist-snapshot'}>;

function createWrites(turn: Turn): readonly Write[] {
	const {before, state, changedAfter, snapshotWrite} = turn;
	const {issued} = before.writes;
	const writes: Write[] = [];
	if (state.hardState !== before.hardState || changedAfter !== undefined) {
		const after = changedAfter ?? readLastIndex(state.log);
		const isTruncated =
			changedAfter !== undefined && after < readLastIndex(before.log);
		writes.push({
			kind: 'persist',
			sequence: issued + 1,
			hardState:
				state.hardState === before.hardState ? undefined : state.hardState,
			truncateAfter: isTruncated ? after : undefined,
			entries: sliceEntries(state.log, after + 1, readLastIndex(state.log)),
		});
	}

	if (snapshotWrite !== undefined) {
		const sequence = issued + writes.length + 1;
		writes.push({kind: 'persist-snapshot', sequence, ...snapshotWrite});
	}

	return writes;
}

function recordWrite(turn: Turn, sequence: number): Turn {
	const {log, hardState, writes} = turn.state;
	const write: PendingWrite = {
		sequence,
		term: hardState.term,
		lastIndex: readLastIndex(log),
		messages: [],
	};
	const pending = [...writes.pending, write];
	return update(turn, {writes: {...writes, issued: sequence, pending}});
}

function isEarly(state: RaftState, message: RaftMessage): boolean {
	const isVote = message.kind === 'vote' || message.kind === 'vote-answer';
	return isVote && !state.settings.guards.syncBeforeVote;
}

function holdPromises(turn: Turn): Turn {
	const {writes} = turn.state;
	const last = writes.pending.at(-1);
	const held = turn.promises.filter((message) => !isEarly(turn.state, message));
	const free = turn.promises.filter((message) => isEarly(turn.state, message));
	const sendAll = (messages: readonly RaftMessage[]): Turn =>
		emit(
			turn,
			...messages.map((message) => ({kind: 'send' as const, message})),
		);
	if (last === undefined) {
		return sendAll(turn.promises);
	}

	const messages = [...last.messages, ...held];
	const pending = [...writes.pending.slice(0, -1), {...last, messages}];
	return update(sendAll(free), {writes: {...writes, pending}});
}

/** Ends the work on an event: writes first, then the other effects. */
export function finishTurn(turn: Turn): Transition<RaftState, RaftEffect> {
	const writes = createWrites(turn);
	const last = writes.at(-1);
	const recorded = last === undefined ? turn : recordWrite(turn, last.sequence);
	const finished =
		turn.promises.length === 0 ? recorded : holdPromises(recorded);
	return createTransition(finished.state, [...writes, ...finished.effects]);
}

/** Whether a message is for this replica and its group. */
export function isAddressed(state: RaftState, message: RaftMessage): boolean {
	const {group} = state.hardState;
	return (
		message.to === state.replica &&
		(group === undefined || group === message.group)
	);
}

/** Leader as far as this replica knows. */
export function findLeader(state: RaftState): ReplicaId | undefined {
	switch (state.role.kind) {
		case 'leader': {
			return state.replica;
		}

		case 'follower': {
			return state.role.leader;
		}

		case 'unassigned':
		case 'pre-candidate':
		case 'candidate': {
			return undefined;
		}
	}
}
