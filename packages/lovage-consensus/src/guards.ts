/**
 * Safety rules of the protocol. Production code enables all of them; tests and
 * the specification disable single rules to show which failure each prevents.
 */
export type RaftGuards = Readonly<{
	/** Check that an election could be won before the term is incremented. */
	preVote: boolean;
	/**
	 * A leader that does not hear from a quorum steps down, and voters ignore
	 * candidates while they hear from a leader.
	 */
	checkQuorum: boolean;
	/** Count and acknowledge entries only after they are synced. */
	syncBeforeAcknowledge: boolean;
	/** Send votes, and count a candidate's own vote, only after they are synced. */
	syncBeforeVote: boolean;
	/** Commit entries of earlier terms only together with one of the current term. */
	commitOwnTermOnly: boolean;
	/** Confirm a read only after a quorum has answered a later heartbeat round. */
	readNeedsQuorum: boolean;
	/** Confirm a read only after an entry of the leader's current term is committed. */
	readNeedsOwnTermCommit: boolean;
	/** Start a membership change only after the previous one is committed. */
	oneChangeAtATime: boolean;
	/** Promote a replica to voter only after it has caught up as a learner. */
	learnerBeforeVoter: boolean;
	/** A replica that lost its disk does not vote until the group adds it as a member. */
	newIdentityAfterLostDisk: boolean;
	/** Vote only for a candidate whose log is at least as up to date. */
	logUpToDateCheck: boolean;
	/** Vote for at most one candidate per term. */
	voteOncePerTerm: boolean;
}>;

/** Enables every safety rule. */
export const allGuards: RaftGuards = {
	preVote: true,
	checkQuorum: true,
	syncBeforeAcknowledge: true,
	syncBeforeVote: true,
	commitOwnTermOnly: true,
	readNeedsQuorum: true,
	readNeedsOwnTermCommit: true,
	oneChangeAtATime: true,
	learnerBeforeVoter: true,
	newIdentityAfterLostDisk: true,
	logUpToDateCheck: true,
	voteOncePerTerm: true,
};
