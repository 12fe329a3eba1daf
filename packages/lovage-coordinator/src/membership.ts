import type {Member, RaftState, ReplicaId} from '@lovagevalve/consensus';

/**
 * Silence after which a voter counts as permanently failed; longer than a
 * restart.
 */
const FAILED_VOTER_TIMEOUT_MS = 6000;
/** With fewer voters, the group would not tolerate a failure. */
const MIN_FAULT_TOLERANT_VOTERS = 3;

/**
 * Finds the voter that the leader removes: one that is silent although a
 * replacement has already become a voter, so that the group tolerates the next
 * failure again. A removed replica that comes back is expected to ask to join.
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
