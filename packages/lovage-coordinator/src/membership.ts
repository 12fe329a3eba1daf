import type {Member, RaftState, ReplicaId} from '@lovagevalve/consensus';

/** Silence after which a voter counts as lost for good; a restart takes less. */
const FAILED_VOTER_TIMEOUT_MS = 6000;
/** Fewer voters would bear no loss. */
const MIN_FAULT_TOLERANT_VOTERS = 3;

/**
 * Finds the voter that the leader removes: one that is silent while a
 * replacement has already become a voter, so that the group bears the next
 * loss again. A removed replica that comes back asks to join.
 */
export function findFailedVoter(
	state: RaftState,
	members: readonly Member[],
	now: number,
): ReplicaId | undefined {
	if (state.role.kind !== 'leader') {
		return undefined;
	}

	const {progress} = state.role;
	const voters = members.filter(({voter}) => voter);
	return voters.length <= MIN_FAULT_TOLERANT_VOTERS
		? undefined
		: voters.find(({replica}) => {
				const heardAt = progress[replica]?.heardAt;
				return (
					replica !== state.replica &&
					heardAt !== undefined &&
					now - heardAt > FAILED_VOTER_TIMEOUT_MS
				);
			})?.replica;
}
