/**
 * Protections of the protocol. Programs run with all of them; one is switched
 * off only to show in a test or in the specification what it prevents.
 */
export type RaftGuards = Readonly<{
	/** Ask whether an election could be won before the term is raised. */
	preVote: boolean;
	/** A leader that hears no quorum steps down, and voters keep to a live leader. */
	checkQuorum: boolean;
	/** Count and acknowledge entries only once they are synced. */
	syncBeforeAcknowledge: boolean;
	/** Hand out votes only once they are synced. */
	syncBeforeVote: boolean;
	/** Commit entries of former terms only by one of the leader's own term. */
	commitOwnTermOnly: boolean;
	/** Confirm a read only after a quorum has answered a later round. */
	readNeedsQuorum: boolean;
	/** Confirm a read only after an entry of the leader's own term is committed. */
	readNeedsOwnTermCommit: boolean;
	/** Begin a membership change only after the former one is committed. */
	oneChangeAtATime: boolean;
	/** A replica becomes a voter only after it has caught up as a learner. */
	learnerBeforeVoter: boolean;
	/** A replica that lost its disk votes for nobody until the group takes it in. */
	newIdentityAfterLostDisk: boolean;
	/** Vote only for a candidate whose log is at least as complete. */
	logUpToDateCheck: boolean;
	/** Vote for one candidate in each term. */
	voteOncePerTerm: boolean;
}>;

/** Every protection on. */
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
