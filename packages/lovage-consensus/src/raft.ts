import type {Transition} from '@lovagevalve/core';
import {requestJoin, requestRemoval} from './changes.js';
import {
	checkElection,
	countOwnVote,
	receiveTimeoutNow,
	receiveVote,
	receiveVoteAnswer,
} from './election.js';
import type {RaftEffect, RaftEvent} from './events.js';
import {acknowledge, receiveAppend} from './follower.js';
import {initialise} from './initialise.js';
import {advanceLeader, checkQuorum, receiveAppendAnswer} from './leader.js';
import {createLog, readLastIndex, readLastTerm} from './log.js';
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
import {becomeFollower, resetElection} from './term.js';
import {advanceTransfer, requestTransfer} from './transfer.js';
import {
	beginTurn,
	emit,
	finishTurn,
	isAddressed,
	send,
	update,
	type Turn,
} from './turn.js';
import type {RecoveredState} from './types.js';

/** What a replica starts from; `now` is monotonic, in milliseconds. */
export type RaftOptions = Readonly<{
	recovered: RecoveredState;
	settings: RaftSettings;
	/** Seed of the election timeouts; differs between replicas. */
	seed: number;
	now: number;
}>;

/** Creates a replica from what its disk holds. */
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
	return resetElection(beginTurn(state, now)).state;
}

function receiveSynced(turn: Turn, sequence: number): Turn {
	const {writes} = turn.state;
	const done = writes.pending.filter((write) => write.sequence <= sequence);
	const last = done.at(-1);
	if (last === undefined) {
		return turn;
	}

	const {term} = turn.state.hardState;
	const effects = done
		.flatMap(({messages}) => messages)
		.filter((message) => message.term === term)
		.map((message) => ({kind: 'send' as const, message}));
	const synced = update(turn, {
		writes: {
			...writes,
			syncedTerm: last.term,
			syncedIndex: Math.max(writes.syncedIndex, last.lastIndex),
			pending: writes.pending.filter((write) => write.sequence > sequence),
		},
	});
	return advanceLeader(countOwnVote(acknowledge(emit(synced, ...effects))));
}

function receiveCurrent(turn: Turn, message: RaftMessage): Turn {
	switch (message.kind) {
		case 'pre-vote':
		case 'vote': {
			return receiveVote(turn, message);
		}

		case 'pre-vote-answer':
		case 'vote-answer': {
			return receiveVoteAnswer(turn, message);
		}

		case 'append': {
			return receiveAppend(turn, message);
		}

		case 'append-answer': {
			return receiveAppendAnswer(turn, message);
		}

		case 'snapshot': {
			return receiveSnapshot(turn, message);
		}

		case 'snapshot-answer': {
			return receiveSnapshotAnswer(turn, message);
		}

		case 'timeout-now': {
			return receiveTimeoutNow(turn);
		}
	}
}

function isElection(message: RaftMessage): boolean {
	return ['vote', 'pre-vote', 'vote-answer', 'pre-vote-answer'].includes(
		message.kind,
	);
}

function isFromLeader(message: RaftMessage): boolean {
	return message.kind === 'append' || message.kind === 'snapshot';
}

/** Tells the sender of an old leader's message that the term has moved on. */
function refuseOldLeader(turn: Turn, message: RaftMessage): Turn {
	return isFromLeader(message)
		? send(turn, {
				kind: 'append-answer',
				to: message.from,
				rejected: true,
				matchIndex: 0,
				round: 0,
			})
		: turn;
}

function receive(turn: Turn, message: RaftMessage): Turn {
	const {hardState, role} = turn.state;
	if (!isAddressed(turn.state, message)) {
		return turn;
	}

	if (isElection(message)) {
		return receiveCurrent(turn, message);
	}

	if (message.term < hardState.term) {
		return refuseOldLeader(turn, message);
	}

	const isNewer = message.term > hardState.term;
	if (isNewer && !isFromLeader(message)) {
		return becomeFollower(turn, message.term);
	}

	// A second leader of the same term can't be unless a protection is off.
	const isRival = !isNewer && role.kind === 'leader' && isFromLeader(message);
	return isRival ? turn : receiveCurrent(turn, message);
}

function tick(turn: Turn): Turn {
	const checked = checkElection(checkQuorum(turn));
	const role = findLeaderRole(checked.state);
	return role !== undefined && checked.now >= role.heartbeatAt
		? advanceTransfer(sendHeartbeats(checked))
		: checked;
}

function handle(turn: Turn, event: RaftEvent): Turn {
	switch (event.kind) {
		case 'ticked': {
			return tick(turn);
		}

		case 'received': {
			return receive(turn, event.message);
		}

		case 'proposed': {
			return propose(checkQuorum(turn), event.proposal, event.commands);
		}

		case 'read-requested': {
			return requestRead(checkQuorum(turn), event.read);
		}

		case 'synced': {
			return receiveSynced(turn, event.sequence);
		}

		case 'initialised': {
			return initialise(turn, event.group, event.members);
		}

		case 'join-requested': {
			return requestJoin(checkQuorum(turn), event.member);
		}

		case 'removal-requested': {
			return requestRemoval(checkQuorum(turn), event.replica);
		}

		case 'snapshot-taken': {
			return takeSnapshot(turn, event.index, event.data);
		}

		case 'transfer-requested': {
			return requestTransfer(turn);
		}
	}
}

/** Decides what a replica does about one event. */
export function stepRaft(
	state: RaftState,
	event: RaftEvent,
): Transition<RaftState, RaftEffect> {
	return finishTurn(handle(beginTurn(state, event.now), event));
}
