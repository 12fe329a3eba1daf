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
export type Step = Readonly<{
	now: number;
	previousState: RaftState;
	state: RaftState;
	effects: readonly RaftEffect[];
	/** The log differs from the one before after this index. */
	changedAfter?: number;
	snapshotWrite?: Readonly<{snapshot: Snapshot; replacesLog: boolean}>;
	/** Messages that promise something which must be on disk first. */
	deferredMessages: readonly RaftMessage[];
}>;

type EnvelopeField = 'group' | 'from' | 'term';

/** A message without what each message of a replica has in common. */
export type MessageBody = RaftMessage extends infer Message
	? Message extends RaftMessage
		? Omit<Message, EnvelopeField> & Readonly<{term?: number}>
		: never
	: never;

/** Begins the work on an event. */
export function beginStep(state: RaftState, now: number): Step {
	return {now, previousState: state, state, effects: [], deferredMessages: []};
}

/** Changes parts of the state. */
export function update(step: Step, patch: Partial<RaftState>): Step {
	return {...step, state: {...step.state, ...patch}};
}

/** Adds effects. */
export function emit(step: Step, ...effects: readonly RaftEffect[]): Step {
	return {...step, effects: [...step.effects, ...effects]};
}

/** Completes a message of this replica; its own term unless one is given. */
export function createMessage(
	state: RaftState,
	body: MessageBody,
): RaftMessage {
	const envelope = {
		group: state.hardState.group ?? '',
		from: state.replica,
		term: body.term ?? state.hardState.term,
	};
	return {...body, ...envelope};
}

/** Sends a message that rests on nothing unsynced. */
export function send(step: Step, body: MessageBody): Step {
	return emit(step, {kind: 'send', message: createMessage(step.state, body)});
}

/** Sends a message once all that is decided by now is synced. */
export function sendWhenSynced(step: Step, body: MessageBody): Step {
	const message = createMessage(step.state, body);
	return {...step, deferredMessages: [...step.deferredMessages, message]};
}

/** Changes what must be remembered about elections. */
export function updateHardState(step: Step, hardState: HardState): Step {
	return update(step, {hardState});
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
	step: Step,
	after: number,
	entries: readonly LogEntry[],
): Step {
	const {log, writes} = step.state;
	const isTruncated = after < readLastIndex(log);
	const next = update(step, {
		log: appendEntries(truncateLog(log, after), entries),
		writes: isTruncated ? clampWrites(writes, after) : writes,
	});
	return {...next, changedAfter: Math.min(step.changedAfter ?? after, after)};
}

/** Appends one entry or more of this replica's own. */
export function appendToLog(step: Step, entries: readonly LogEntry[]): Step {
	return replaceTail(step, readLastIndex(step.state.log), entries);
}

/** Stores a snapshot; if it replaces the log, nothing of the log counts as synced. */
export function storeSnapshot(
	step: Step,
	snapshot: Snapshot,
	replacesLog: boolean,
): Step {
	const {writes} = step.state;
	const next = update(step, {
		snapshot,
		writes: replacesLog ? clampWrites(writes, 0) : writes,
	});
	return {...next, snapshotWrite: {snapshot, replacesLog}};
}

type Write = Extract<RaftEffect, {kind: 'persist' | 'persist-snapshot'}>;

function createWrites(step: Step): readonly Write[] {
	const {previousState: before, state, changedAfter, snapshotWrite} = step;
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

function recordWrite(step: Step, sequence: number): Step {
	const {log, hardState, writes} = step.state;
	const write: PendingWrite = {
		sequence,
		term: hardState.term,
		lastIndex: readLastIndex(log),
		messages: [],
	};
	const pending = [...writes.pending, write];
	return update(step, {writes: {...writes, issued: sequence, pending}});
}

function canSendBeforeSync(state: RaftState, message: RaftMessage): boolean {
	const isVote = message.kind === 'vote' || message.kind === 'vote-answer';
	return isVote && !state.settings.guards.syncBeforeVote;
}

function deferMessages(step: Step): Step {
	const {writes} = step.state;
	const last = writes.pending.at(-1);
	const deferred = step.deferredMessages.filter(
		(message) => !canSendBeforeSync(step.state, message),
	);
	const immediate = step.deferredMessages.filter((message) =>
		canSendBeforeSync(step.state, message),
	);
	const sendAll = (messages: readonly RaftMessage[]): Step =>
		emit(
			step,
			...messages.map((message) => ({kind: 'send' as const, message})),
		);
	if (last === undefined) {
		return sendAll(step.deferredMessages);
	}

	const messages = [...last.messages, ...deferred];
	const pending = [...writes.pending.slice(0, -1), {...last, messages}];
	return update(sendAll(immediate), {writes: {...writes, pending}});
}

/** Ends the work on an event: writes first, then the other effects. */
export function finishStep(step: Step): Transition<RaftState, RaftEffect> {
	const writes = createWrites(step);
	const last = writes.at(-1);
	const recorded = last === undefined ? step : recordWrite(step, last.sequence);
	const finished =
		step.deferredMessages.length === 0 ? recorded : deferMessages(recorded);
	return createTransition(finished.state, [...writes, ...finished.effects]);
}

/** Whether a message is for this replica and its group. */
export function isAddressedToReplica(
	state: RaftState,
	message: RaftMessage,
): boolean {
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
