import {isQuorum} from './members.js';
import {findLeaderRole, sendHeartbeats, updateLeader} from './replication.js';
import type {LeaderRole, PendingRead, RaftState} from './state.js';
import {emit, findLeader, type Turn} from './turn.js';
import type {RefusalReason} from './events.js';

function refuse(turn: Turn, read: string, reason: RefusalReason): Turn {
	const leader = findLeader(turn.state);
	return emit(turn, {kind: 'read-refused', read, reason, leader});
}

function isConfirmed(
	state: RaftState,
	role: LeaderRole,
	round: number,
): boolean {
	return isQuorum(
		state,
		(replica) =>
			replica === state.replica ||
			(role.progress[replica]?.round ?? 0) >= round,
	);
}

function startRound(turn: Turn): Turn {
	const role = findLeaderRole(turn.state);
	return role === undefined
		? turn
		: sendHeartbeats(updateLeader(turn, {round: role.round + 1}));
}

/** Confirms the reads whose round and commit index are reached, and starts the next round. */
export function settleReads(turn: Turn): Turn {
	const {state} = turn;
	const role = findLeaderRole(state);
	if (role === undefined || role.reads.length === 0) {
		return turn;
	}

	const needsQuorum = state.settings.guards.readNeedsQuorum;
	const isRoundOver = isConfirmed(state, role, role.round);
	const isSettled = ({round, index}: PendingRead): boolean =>
		index <= state.appliedIndex &&
		(!needsQuorum || (round <= role.round && isRoundOver));
	const confirmed = role.reads
		.filter(isSettled)
		.map(({read, index}) => ({kind: 'read-confirmed' as const, read, index}));
	const reads = role.reads.filter((pending) => !isSettled(pending));
	const next = emit(updateLeader(turn, {reads}), ...confirmed);
	const isWaiting = reads.some(({round}) => round > role.round);
	return isRoundOver && isWaiting ? settleReads(startRound(next)) : next;
}

/** Takes a read: it waits for a round that begins after it came. */
export function requestRead(turn: Turn, read: string): Turn {
	const {state} = turn;
	const role = findLeaderRole(state);
	if (role === undefined) {
		return refuse(turn, read, 'not-leader');
	}

	if (role.reads.length >= state.settings.maxPendingReads) {
		return refuse(turn, read, 'overloaded');
	}

	const {readNeedsOwnTermCommit} = state.settings.guards;
	const index = readNeedsOwnTermCommit
		? Math.max(state.commitIndex, role.firstIndex)
		: state.commitIndex;
	const pending: PendingRead = {read, round: role.round + 1, index};
	return settleReads(updateLeader(turn, {reads: [...role.reads, pending]}));
}
