import {readLastIndex} from './log.js';
import {readVoters} from './members.js';
import {findLeaderRole, updateLeader} from './replication.js';
import type {LeaderRole, RaftState} from './state.js';
import {send, type Turn} from './turn.js';
import type {ReplicaId} from './types.js';

function findSuccessor(
	state: RaftState,
	role: LeaderRole,
): ReplicaId | undefined {
	const findMatch = (replica: ReplicaId): number =>
		role.progress[replica]?.matchIndex ?? 0;
	return readVoters(state)
		.filter((replica) => replica !== state.replica)
		.toSorted((a, b) => findMatch(b) - findMatch(a))
		.at(0);
}

/** Tells the successor to start its election once it holds the whole log. */
export function advanceTransfer(turn: Turn): Turn {
	const {state, now} = turn;
	const role = findLeaderRole(state);
	if (role?.transfer === undefined) {
		return turn;
	}

	const {to, abandonAt} = role.transfer;
	if (now >= abandonAt) {
		return updateLeader(turn, {transfer: undefined});
	}

	const matchIndex = role.progress[to]?.matchIndex ?? 0;
	return matchIndex === readLastIndex(state.log)
		? send(turn, {kind: 'timeout-now', to})
		: turn;
}

/** Begins to hand the lead to the most complete other voter. */
export function requestTransfer(turn: Turn): Turn {
	const {state, now} = turn;
	const role = findLeaderRole(state);
	if (role === undefined || role.transfer !== undefined) {
		return turn;
	}

	const to = findSuccessor(state, role);
	if (to === undefined) {
		return turn;
	}

	const abandonAt = now + state.settings.electionTimeoutMs;
	return advanceTransfer(updateLeader(turn, {transfer: {to, abandonAt}}));
}
