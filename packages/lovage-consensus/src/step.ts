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

/** The handling of one event: the state so far and the effects to return. */
export type Step = Readonly<{
	now: number;
	previousState: RaftState;
	state: RaftState;
	effects: readonly RaftEffect[];
	/** The log differs from the previous state's log only after this index. */
	changedAfter?: number;
	snapshotWrite?: Readonly<{snapshot: Snapshot; replacesLog: boolean}>;
	/** Messages that must not be sent before the pending writes are synced. */
	deferredMessages: readonly RaftMessage[];
}>;

type EnvelopeField = 'group' | 'from' | 'term';

/** A message without its envelope. The term may be overridden. */
export type MessageBody = RaftMessage extends infer Message
	? Message extends RaftMessage
		? Omit<Message, EnvelopeField> & Readonly<{term?: number}>
		: never
	: never;

/** Starts handling an event. */
export function beginStep(state: RaftState, now: number): Step {
	return {now, previousState: state, state, effects: [], deferredMessages: []};
}

/** Merges a patch into the state. */
export function update(step: Step, patch: Partial<RaftState>): Step {
	return {...step, state: {...step.state, ...patch}};
}

/** Appends effects. */
export function emit(step: Step, ...effects: readonly RaftEffect[]): Step {
	return {...step, effects: [...step.effects, ...effects]};
}

/** Adds the envelope to a message, with the current term unless the body has one. */
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

/** Sends a message that doesn't depend on an unsynced write. */
export function send(step: Step, body: MessageBody): Step {
	return emit(step, {kind: 'send', message: createMessage(step.state, body)});
}

/** Sends a message after the writes of this step and all earlier ones are synced. */
export function sendWhenSynced(step: Step, body: MessageBody): Step {
	const message = createMessage(step.state, body);
	return {...step, deferredMessages: [...step.deferredMessages, message]};
}

/** Replaces the persistent election state. */
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

/** Replaces the log entries after an index. */
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

/** Appends entries to the end of the log. */
export function appendToLog(step: Step, entries: readonly LogEntry[]): Step {
	return replaceTail(step, readLastIndex(step.state.log), entries);
}

/** Stores a snapshot; if it replaces the log, no log entry counts as synced. */
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

/** Finishes the handling of an event; returns writes first, then other effects. */
export function finishStep(step: Step): Transition<RaftState, RaftEffect> {
	const writes = createWrites(step);
	const last = writes.at(-1);
	const recorded = last === undefined ? step : recordWrite(step, last.sequence);
	const finished =
		step.deferredMessages.length === 0 ? recorded : deferMessages(recorded);
	return createTransition(finished.state, [...writes, ...finished.effects]);
}

/** Returns whether a message is addressed to this replica and its group. */
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

/** Returns the leader that this replica knows of, if any. */
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
