import {readLastIndex} from './log.js';
import {readVoters} from './members.js';
import {findLeaderRole, updateLeaderRole} from './replication.js';
import type {LeaderRole, RaftState} from './state.js';
import {send, type Step} from './step.js';
import type {ReplicaId} from './types.js';

function findTransferTarget(
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

/** Tells the target to start an election once its log is complete. */
export function advanceTransfer(step: Step): Step {
	const {state, now} = step;
	const role = findLeaderRole(state);
	if (role?.transfer === undefined) {
		return step;
	}

	const {to, abandonAt} = role.transfer;
	if (now >= abandonAt) {
		return updateLeaderRole(step, {transfer: undefined});
	}

	const matchIndex = role.progress[to]?.matchIndex ?? 0;
	return matchIndex === readLastIndex(state.log)
		? send(step, {kind: 'timeout-now', to})
		: step;
}

/** Starts a leadership transfer to the other voter with the most complete log. */
export function requestTransfer(step: Step): Step {
	const {state, now} = step;
	const role = findLeaderRole(state);
	if (role === undefined || role.transfer !== undefined) {
		return step;
	}

	const to = findTransferTarget(state, role);
	if (to === undefined) {
		return step;
	}

	const abandonAt = now + state.settings.electionTimeoutMs;
	return advanceTransfer(updateLeaderRole(step, {transfer: {to, abandonAt}}));
}
