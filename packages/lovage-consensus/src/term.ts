import {drawRandom} from './random.js';
import type {RaftState} from './state.js';
import {emit, update, updateHardState, type Turn} from './turn.js';
import type {ReplicaId} from './types.js';

/** Draws the time of the next election. */
export function resetElection(turn: Turn): Turn {
	const {settings, random} = turn.state;
	const draw = drawRandom(random);
	const delayMs = settings.electionTimeoutMs * (1 + draw.value);
	return update(turn, {electionAt: turn.now + delayMs, random: draw.random});
}

function refuseReads(turn: Turn, leader: ReplicaId | undefined): Turn {
	const {role} = turn.state;
	if (role.kind !== 'leader') {
		return turn;
	}

	const refusals = role.reads.map(({read}) => ({
		kind: 'read-refused' as const,
		read,
		reason: 'not-leader' as const,
		leader,
	}));
	const {term} = turn.before.hardState;
	return emit(turn, ...refusals, {kind: 'stepped-down', term, leader});
}

/** Raises the term; nothing is verified or voted for in the new one. */
export function raiseTerm(turn: Turn, term: number, vote?: ReplicaId): Turn {
	const {group} = turn.state.hardState;
	const next = updateHardState(turn, {group, term, vote});
	return update(next, {
		verifiedIndex: 0,
		leaderRound: 0,
		incoming: undefined,
	});
}

/** Follows a leader, or nobody yet, in the term given. */
export function becomeFollower(
	turn: Turn,
	term: number,
	leader?: ReplicaId,
): Turn {
	const {role, hardState} = turn.state;
	const refused = refuseReads(turn, leader);
	const raised = term > hardState.term ? raiseTerm(refused, term) : refused;
	if (role.kind === 'unassigned') {
		return raised;
	}

	const rested = role.kind === 'follower' ? raised : resetElection(raised);
	return update(rested, {role: {kind: 'follower', leader}});
}

/** Takes an unassigned replica into the group that a leader speaks for. */
export function joinGroup(turn: Turn, group: string): Turn {
	const {role, hardState} = turn.state;
	if (role.kind !== 'unassigned') {
		return turn;
	}

	const next = updateHardState(turn, {...hardState, group});
	return resetElection(update(next, {role: {kind: 'follower'}}));
}

/** Whether a leader was heard within the shortest election timeout. */
export function hasLiveLeader(state: RaftState, now: number): boolean {
	const isRecent = now - state.leaderHeardAt < state.settings.electionTimeoutMs;
	return (
		state.role.kind === 'leader' ||
		(state.role.kind === 'follower' &&
			state.role.leader !== undefined &&
			isRecent)
	);
}
