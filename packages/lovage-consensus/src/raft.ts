import type {Transition} from '@lovagevalve/core';
import {
	checkElection,
	countOwnVote,
	receiveTimeoutNow,
	receiveVote,
	receiveVoteAnswer,
} from './election.js';
import type {RaftEffect, RaftEvent} from './events.js';
import {acknowledgeAppend, receiveAppend} from './follower.js';
import {initialise} from './initialise.js';
import {advanceLeader, checkQuorum, receiveAppendAnswer} from './leader.js';
import {createLog, readLastIndex, readLastTerm} from './log.js';
import {requestJoin, requestRemoval} from './membership-changes.js';
import type {RaftMessage} from './messages.js';
import {propose} from './proposals.js';
import {createRandom} from './random.js';
import {requestRead} from './reads.js';
import {findLeaderRole, sendHeartbeats} from './replication.js';
import {
	receiveSnapshot,
	receiveSnapshotAnswer,
	takeSnapshot,
} from './snapshots.js';
import type {RaftSettings, RaftState} from './state.js';
import {
	beginStep,
	emit,
	finishStep,
	isAddressedToReplica,
	send,
	update,
	type Step,
} from './step.js';
import {becomeFollower, resetElectionTimer} from './term.js';
import {advanceTransfer, requestTransfer} from './transfer.js';
import type {RecoveredState} from './types.js';

/** Options of a new replica. `now` is a monotonic time in milliseconds. */
export type RaftOptions = Readonly<{
	recovered: RecoveredState;
	settings: RaftSettings;
	/** Seed of the random election timeouts; must differ between replicas. */
	seed: number;
	now: number;
}>;

/** Creates a replica from the state recovered from its disk. */
export function createRaft(options: RaftOptions): RaftState {
	const {recovered, settings, seed, now} = options;
	const {replica, hardState, snapshot, entries} = recovered;
	const log = createLog(snapshot, entries);
	const term = Math.max(hardState.term, readLastTerm(log));
	const isAssigned = hardState.group !== undefined;
	const state: RaftState = {
		settings,
		replica,
		hardState: term === hardState.term ? hardState : {...hardState, term},
		role: {kind: isAssigned ? 'follower' : 'unassigned'},
		log,
		snapshot,
		commitIndex: log.baseIndex,
		appliedIndex: log.baseIndex,
		verifiedIndex: 0,
		leaderRound: 0,
		leaderHeardAt: now - settings.electionTimeoutMs,
		electionAt: now,
		writes: {
			issued: 0,
			syncedTerm: term,
			syncedIndex: readLastIndex(log),
			pending: [],
		},
		random: createRandom(seed),
	};
	return resetElectionTimer(beginStep(state, now)).state;
}

function handleSynced(step: Step, sequence: number): Step {
	const {writes} = step.state;
	const completed = writes.pending.filter(
		(write) => write.sequence <= sequence,
	);
	const last = completed.at(-1);
	if (last === undefined) {
		return step;
	}

	const {term} = step.state.hardState;
	const effects = completed
		.flatMap(({messages}) => messages)
		.filter((message) => message.term === term)
		.map((message) => ({kind: 'send' as const, message}));
	const synced = update(step, {
		writes: {
			...writes,
			syncedTerm: last.term,
			syncedIndex: Math.max(writes.syncedIndex, last.lastIndex),
			pending: writes.pending.filter((write) => write.sequence > sequence),
		},
	});
	return advanceLeader(
		countOwnVote(acknowledgeAppend(emit(synced, ...effects))),
	);
}

function dispatchMessage(step: Step, message: RaftMessage): Step {
	switch (message.kind) {
		case 'pre-vote':
		case 'vote': {
			return receiveVote(step, message);
		}

		case 'pre-vote-answer':
		case 'vote-answer': {
			return receiveVoteAnswer(step, message);
		}

		case 'append': {
			return receiveAppend(step, message);
		}

		case 'append-answer': {
			return receiveAppendAnswer(step, message);
		}

		case 'snapshot': {
			return receiveSnapshot(step, message);
		}

		case 'snapshot-answer': {
			return receiveSnapshotAnswer(step, message);
		}

		case 'timeout-now': {
			return receiveTimeoutNow(step);
		}
	}
}

function isElectionMessage(message: RaftMessage): boolean {
	return ['vote', 'pre-vote', 'vote-answer', 'pre-vote-answer'].includes(
		message.kind,
	);
}

function isFromLeader(message: RaftMessage): boolean {
	return message.kind === 'append' || message.kind === 'snapshot';
}

/** Rejects a message from a leader of an earlier term, so that it learns the new term. */
function rejectStaleLeader(step: Step, message: RaftMessage): Step {
	return isFromLeader(message)
		? send(step, {
				kind: 'append-answer',
				to: message.from,
				rejected: true,
				matchIndex: 0,
				round: 0,
			})
		: step;
}

function receiveMessage(step: Step, message: RaftMessage): Step {
	const {hardState, role} = step.state;
	if (!isAddressedToReplica(step.state, message)) {
		return step;
	}

	if (isElectionMessage(message)) {
		return dispatchMessage(step, message);
	}

	if (message.term < hardState.term) {
		return rejectStaleLeader(step, message);
	}

	const isNewer = message.term > hardState.term;
	if (isNewer && !isFromLeader(message)) {
		return becomeFollower(step, message.term);
	}

	// Two leaders in one term are possible only with a safety rule disabled.
	const isConflictingLeader =
		!isNewer && role.kind === 'leader' && isFromLeader(message);
	return isConflictingLeader ? step : dispatchMessage(step, message);
}

function tick(step: Step): Step {
	const checked = checkElection(checkQuorum(step));
	const role = findLeaderRole(checked.state);
	return role !== undefined && checked.now >= role.heartbeatAt
		? advanceTransfer(sendHeartbeats(checked))
		: checked;
}

function handleEvent(step: Step, event: RaftEvent): Step {
	switch (event.kind) {
		case 'ticked': {
			return tick(step);
		}

		case 'received': {
			return receiveMessage(step, event.message);
		}

		case 'proposed': {
			return propose(checkQuorum(step), event.proposal, event.commands);
		}

		case 'read-requested': {
			return requestRead(checkQuorum(step), event.read);
		}

		case 'synced': {
			return handleSynced(step, event.sequence);
		}

		case 'initialised': {
			return initialise(step, event.group, event.members);
		}

		case 'join-requested': {
			return requestJoin(checkQuorum(step), event.member);
		}

		case 'removal-requested': {
			return requestRemoval(checkQuorum(step), event.replica);
		}

		case 'snapshot-taken': {
			return takeSnapshot(step, event.index, event.data);
		}

		case 'transfer-requested': {
			return requestTransfer(step);
		}
	}
}

/** Handles one event; returns the next state and the effects to execute. */
export function stepRaft(
	state: RaftState,
	event: RaftEvent,
): Transition<RaftState, RaftEffect> {
	return finishStep(handleEvent(beginStep(state, event.now), event));
}
