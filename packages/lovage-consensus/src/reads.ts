import type {RefusalReason} from './events.js';
import {isQuorum} from './members.js';
import {
	findLeaderRole,
	sendHeartbeats,
	updateLeaderRole,
} from './replication.js';
import type {LeaderRole, PendingRead, RaftState} from './state.js';
import {emit, findLeader, type Step} from './step.js';

function refuseRead(step: Step, read: string, reason: RefusalReason): Step {
	const leader = findLeader(step.state);
	return emit(step, {kind: 'read-refused', read, reason, leader});
}

function hasQuorumAnswered(
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

function startRound(step: Step): Step {
	const role = findLeaderRole(step.state);
	return role === undefined
		? step
		: sendHeartbeats(updateLeaderRole(step, {round: role.round + 1}));
}

/**
 * Confirms the reads whose round is answered and whose index is applied, and
 * starts the next round if reads wait for it.
 */
export function confirmReads(step: Step): Step {
	const {state} = step;
	const role = findLeaderRole(state);
	if (role === undefined || role.reads.length === 0) {
		return step;
	}

	const needsQuorum = state.settings.guards.readNeedsQuorum;
	const isRoundAnswered = hasQuorumAnswered(state, role, role.round);
	const isConfirmable = ({round, index}: PendingRead): boolean =>
		index <= state.appliedIndex &&
		(!needsQuorum || (round <= role.round && isRoundAnswered));
	const confirmed = role.reads
		.filter(isConfirmable)
		.map(({read, index}) => ({kind: 'read-confirmed' as const, read, index}));
	const reads = role.reads.filter((pending) => !isConfirmable(pending));
	const next = emit(updateLeaderRole(step, {reads}), ...confirmed);
	const isWaiting = reads.some(({round}) => round > role.round);
	return isRoundAnswered && isWaiting ? confirmReads(startRound(next)) : next;
}

/** Queues a read for the next heartbeat round, which starts after its arrival. */
export function requestRead(step: Step, read: string): Step {
	const {state} = step;
	const role = findLeaderRole(state);
	if (role === undefined) {
		return refuseRead(step, read, 'not-leader');
	}

	if (role.reads.length >= state.settings.maxPendingReads) {
		return refuseRead(step, read, 'overloaded');
	}

	const {readNeedsOwnTermCommit} = state.settings.guards;
	const index = readNeedsOwnTermCommit
		? Math.max(state.commitIndex, role.firstIndex)
		: state.commitIndex;
	const pending: PendingRead = {read, round: role.round + 1, index};
	return confirmReads(
		updateLeaderRole(step, {reads: [...role.reads, pending]}),
	);
}
