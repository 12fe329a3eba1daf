import type {Member, RaftState, ReplicaId} from '@lovagevalve/consensus';

/** What a leader knows beside the state of the group. */
export type MembershipContext = Readonly<{
	members: readonly Member[];
	/** Number of instances whose disks may be lost at once. */
	tolerated: number;
	/** Voters that said that they stop. */
	leaving: ReadonlySet<ReplicaId>;
	now: number;
}>;

/**
 * Silence after which a voter beyond the required ones counts as failed. A shorter
 * one would remove voters that miss a few heartbeats; the next instance may be lost 4
 * s after the start of a successor.
 */
const FAILED_VOTER_TIMEOUT_MS = 2000;

/**
 * Voters of which a majority outlives the loss of the tolerated disks, and of which
 * each majority has more members than disks may be lost.
 */
export function countRequiredVoters(tolerated: number): number {
	return 2 * tolerated + 1;
}

/** Whether a group has more voters than it needs. */
export function hasSpareVoter(
	members: readonly Member[],
	tolerated: number,
): boolean {
	return (
		members.filter(({voter}) => voter).length > countRequiredVoters(tolerated)
	);
}

/**
 * Finds the voter that the leader removes: one that is silent or leaves although a
 * replacement has already become a voter, so that the group tolerates the next
 * failure again. A removed replica that comes back is expected to ask to join.
 */
export function findFailedVoter(
	state: RaftState,
	{members, tolerated, leaving, now}: MembershipContext,
): ReplicaId | undefined {
	if (state.role.kind !== 'leader' || !hasSpareVoter(members, tolerated)) {
		return undefined;
	}

	const {progress} = state.role;
	const isFailed = (replica: ReplicaId): boolean => {
		const heardAt = progress[replica]?.heardAt;
		return (
			leaving.has(replica) ||
			(heardAt !== undefined && now - heardAt > FAILED_VOTER_TIMEOUT_MS)
		);
	};

	return members.find(
		({replica, voter}) =>
			voter && replica !== state.replica && isFailed(replica),
	)?.replica;
}
