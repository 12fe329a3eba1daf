import {readMembersAt, readMembership} from './log.js';
import type {RaftState} from './state.js';
import {hasLiveLeader} from './term.js';
import type {Member, ReplicaId} from './types.js';

/** Members as of the end of the log, committed or not. */
export function readMembers(state: RaftState): readonly Member[] {
	return readMembership(state.log).members;
}

/** Voters as of the end of the log. */
export function readVoters(state: RaftState): readonly ReplicaId[] {
	return readMembers(state)
		.filter((member) => member.voter)
		.map((member) => member.replica);
}

/** Members other than this replica. */
export function readOthers(state: RaftState): readonly ReplicaId[] {
	return readMembers(state)
		.map((member) => member.replica)
		.filter((replica) => replica !== state.replica);
}

/** Whether this replica is a voter. */
export function isVoter(state: RaftState): boolean {
	return readVoters(state).includes(state.replica);
}

/** Whether more than half of the voters are among these replicas. */
export function isQuorum(
	state: RaftState,
	isIncluded: (replica: ReplicaId) => boolean,
): boolean {
	const voters = readVoters(state);
	return voters.filter(isIncluded).length * 2 > voters.length;
}

/**
 * Whether a replica should ask the leader to take it in: it belongs to no
 * group, or the entry that took it in may have been lost with its leader.
 * A member that asks is told that it is one.
 */
export function needsJoin(state: RaftState, now: number): boolean {
	const {role, log, commitIndex, replica} = state;
	const isListed = readMembersAt(log, commitIndex).some(
		(member) => member.replica === replica,
	);
	return (
		role.kind === 'unassigned' || (!isListed && !hasLiveLeader(state, now))
	);
}
