import {drawRandom} from './random.js';
import type {RaftState} from './state.js';
import {emit, update, updateHardState, type Step} from './step.js';
import type {ReplicaId} from './types.js';

/** Restarts the election timer with a random timeout. */
export function resetElectionTimer(step: Step): Step {
	const {settings, random} = step.state;
	const draw = drawRandom(random);
	const delayMs = settings.electionTimeoutMs * (1 + draw.value);
	return update(step, {electionAt: step.now + delayMs, random: draw.random});
}

function emitStepDown(step: Step, leader: ReplicaId | undefined): Step {
	const {role} = step.state;
	if (role.kind !== 'leader') {
		return step;
	}

	const refusals = role.reads.map(({read}) => ({
		kind: 'read-refused' as const,
		read,
		reason: 'not-leader' as const,
		leader,
	}));
	const {term} = step.previousState.hardState;
	return emit(step, ...refusals, {kind: 'stepped-down', term, leader});
}

/** Enters a higher term and resets the state that belongs to the previous one. */
export function raiseTerm(step: Step, term: number, vote?: ReplicaId): Step {
	const {group} = step.state.hardState;
	const next = updateHardState(step, {group, term, vote});
	return update(next, {
		verifiedIndex: 0,
		leaderRound: 0,
		incoming: undefined,
	});
}

/** Becomes a follower in the given term; its leader may not be known yet. */
export function becomeFollower(
	step: Step,
	term: number,
	leader?: ReplicaId,
): Step {
	const {role, hardState} = step.state;
	const steppedDown = emitStepDown(step, leader);
	const raised =
		term > hardState.term ? raiseTerm(steppedDown, term) : steppedDown;
	if (role.kind === 'unassigned') {
		return raised;
	}

	const rescheduled =
		role.kind === 'follower' ? raised : resetElectionTimer(raised);
	return update(rescheduled, {role: {kind: 'follower', leader}});
}

/** Assigns an unassigned replica to the group of a received message. */
export function joinGroup(step: Step, group: string): Step {
	const {role, hardState} = step.state;
	if (role.kind !== 'unassigned') {
		return step;
	}

	const next = updateHardState(step, {...hardState, group});
	return resetElectionTimer(update(next, {role: {kind: 'follower'}}));
}

/** Returns whether a leader was heard from within the minimum election timeout. */
export function hasLiveLeader(state: RaftState, now: number): boolean {
	const isRecent = now - state.leaderHeardAt < state.settings.electionTimeoutMs;
	return (
		state.role.kind === 'leader' ||
		(state.role.kind === 'follower' &&
			state.role.leader !== undefined &&
			isRecent)
	);
}
