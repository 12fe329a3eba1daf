import {
	type RaftState,
	readMembers,
	readMembersAt,
	type ReplicaId,
} from '@lovagevalve/consensus';
import type {Logger} from '@lovagevalve/runtime';
import {findFailedVoter, hasSpareVoter} from './membership.js';

/** Voters that the leader removes, as the group has more than it needs. */
export type VoterRemoval = Readonly<{
	/** Notes that a replica asks to join, so that it leaves no longer. */
	noteJoin: (replica: ReplicaId) => void;
	/**
	 * Notes that a voter stops, if this replica leads and the group can spare it;
	 * returns whether its removal is committed.
	 */
	noteLeave: (raft: RaftState | undefined, replica: ReplicaId) => boolean;
	/** Finds the voter to remove next: one that is silent or stops. */
	findNext: (raft: RaftState, now: number) => ReplicaId | undefined;
	/** Whether this replica is a voter that the group can spare. */
	isSpareVoter: (raft: RaftState) => boolean;
}>;

/** Creates the removal of voters; none has said that it stops. */
export function createVoterRemoval(
	log: Logger,
	tolerated: number,
): VoterRemoval {
	const leaving = new Set<ReplicaId>();
	return {
		noteJoin(replica) {
			leaving.delete(replica);
		},
		noteLeave(raft, replica) {
			if (raft?.role.kind !== 'leader') {
				return false;
			}

			if (hasSpareVoter(readMembers(raft), tolerated)) {
				leaving.add(replica);
			}

			return readMembersAt(raft.log, raft.commitIndex).every(
				(member) => member.replica !== replica,
			);
		},
		findNext(raft, now) {
			const members = readMembers(raft);
			const voter = findFailedVoter(raft, {members, tolerated, leaving, now});
			if (voter !== undefined) {
				log.info('Removing a voter that is silent or stops.', {
					replica: voter,
					isLeaving: leaving.has(voter),
				});
			}

			return voter;
		},
		isSpareVoter(raft) {
			const members = readMembers(raft);
			return (
				hasSpareVoter(members, tolerated) &&
				members.some(({replica, voter}) => voter && replica === raft.replica)
			);
		},
	};
}
