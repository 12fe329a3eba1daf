import {readMembership} from './log.js';
import type {RaftState} from './state.js';
import {hasLiveLeader} from './term.js';
import type {Member, ReplicaId} from './types.js';

/** Returns the members according to the last membership entry, committed or not. */
export function readMembers(state: RaftState): readonly Member[] {
	return readMembership(state.log).members;
}

/** Returns the voters according to the last membership entry, committed or not. */
export function readVoters(state: RaftState): readonly ReplicaId[] {
	return readMembers(state)
		.filter((member) => member.voter)
		.map((member) => member.replica);
}

/** Returns the members other than this replica. */
export function readOthers(state: RaftState): readonly ReplicaId[] {
	return readMembers(state)
		.map((member) => member.replica)
		.filter((replica) => replica !== state.replica);
}

/** Returns whether this replica is a voter. */
export function isVoter(state: RaftState): boolean {
	return readVoters(state).includes(state.replica);
}

/** Returns whether the included replicas contain a majority of the voters. */
export function isQuorum(
	state: RaftState,
	isIncluded: (replica: ReplicaId) => boolean,
): boolean {
	const voters = readVoters(state);
	return voters.filter(isIncluded).length * 2 > voters.length;
}

/**
 * Returns whether a replica should ask the leader to add it: it belongs to no
 * group, or it has no live leader. Its own log does not show whether it is still a
 * member: a replica that was removed while it was cut off has not received that
 * entry, and the leader no longer replicates to it. The request is idempotent
 * for a replica that is already a member.
 */
export function needsJoin(state: RaftState, now: number): boolean {
	return state.role.kind === 'unassigned' || !hasLiveLeader(state, now);
}
