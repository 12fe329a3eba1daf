import type {RefusalReason} from './events.js';
import {readLastIndex, readMembership} from './log.js';
import {readMembers} from './members.js';
import {alignProgress, findLeaderRole, replicateAll} from './replication.js';
import type {LeaderRole, RaftState} from './state.js';
import {appendOwn, emit, findLeader, type Turn} from './turn.js';
import type {JoiningMember, Member, ReplicaId} from './types.js';

/** Members that a group may have, learners included. */
const MAX_MEMBERS = 9;

/** Whether the former change is committed, and an entry of this leader's term too. */
function isChangePossible(state: RaftState, role: LeaderRole): boolean {
	const isSettled =
		readMembership(state.log).index <= state.commitIndex &&
		role.firstIndex <= state.commitIndex;
	return isSettled || !state.settings.guards.oneChangeAtATime;
}

function changeMembers(turn: Turn, members: readonly Member[]): Turn {
	const {log, hardState} = turn.state;
	const appended = appendOwn(turn, [
		{
			kind: 'membership',
			index: readLastIndex(log) + 1,
			term: hardState.term,
			members,
		},
	]);
	return replicateAll(alignProgress(appended));
}

function answer(
	turn: Turn,
	replica: ReplicaId,
	outcome: 'taken' | RefusalReason,
): Turn {
	const leader = findLeader(turn.state);
	return emit(turn, {kind: 'membership-answered', replica, outcome, leader});
}

function isLive(turn: Turn, role: LeaderRole, replica: ReplicaId): boolean {
	const heardAt = role.progress[replica]?.heardAt;
	return (
		replica === turn.state.replica ||
		(heardAt !== undefined &&
			turn.now - heardAt < turn.state.settings.electionTimeoutMs)
	);
}

function findVoter(turn: Turn, name: string): Member | undefined {
	return readMembers(turn.state).find(
		(member) => member.voter && member.name === name,
	);
}

function addMember(turn: Turn, member: JoiningMember): Turn {
	const {guards} = turn.state.settings;
	const kept = readMembers(turn.state).filter(
		(known) => known.voter || known.name !== member.name,
	);
	if (kept.length >= MAX_MEMBERS) {
		return answer(turn, member.replica, 'overloaded');
	}

	const added: Member = {...member, voter: !guards.learnerBeforeVoter};
	const changed = changeMembers(turn, [...kept, added]);
	return answer(changed, member.replica, 'taken');
}

/** Takes in a replica as a learner; one that has been taken in already changes nothing. */
export function requestJoin(turn: Turn, member: JoiningMember): Turn {
	const {state} = turn;
	const role = findLeaderRole(state);
	const members = readMembers(state);
	if (role === undefined) {
		return answer(turn, member.replica, 'not-leader');
	}

	if (members.some(({replica}) => replica === member.replica)) {
		return answer(turn, member.replica, 'taken');
	}

	const holder = findVoter(turn, member.name);
	if (holder !== undefined && isLive(turn, role, holder.replica)) {
		return answer(turn, member.replica, 'name-in-use');
	}

	return isChangePossible(state, role) && role.transfer === undefined
		? addMember(turn, member)
		: answer(turn, member.replica, 'busy');
}

/** Removes a member; the last voter stays. */
export function requestRemoval(turn: Turn, replica: ReplicaId): Turn {
	const {state} = turn;
	const role = findLeaderRole(state);
	if (role === undefined) {
		return answer(turn, replica, 'not-leader');
	}

	const members = readMembers(state);
	if (!members.some((member) => member.replica === replica)) {
		return answer(turn, replica, 'taken');
	}

	const rest = members.filter((member) => member.replica !== replica);
	if (!rest.some(({voter}) => voter)) {
		return answer(turn, replica, 'invalid');
	}

	return isChangePossible(state, role)
		? answer(changeMembers(turn, rest), replica, 'taken')
		: answer(turn, replica, 'busy');
}

function isReplaceable(turn: Turn, role: LeaderRole, name: string): boolean {
	const holder = findVoter(turn, name);
	return holder === undefined || !isLive(turn, role, holder.replica);
}

function findCaughtUp(turn: Turn, role: LeaderRole): Member | undefined {
	const {log} = turn.state;
	const target = Math.max(role.caughtUpIndex, readMembership(log).index);
	return readMembers(turn.state).find(
		({voter, replica, name}) =>
			!voter &&
			isLive(turn, role, replica) &&
			(role.progress[replica]?.matchIndex ?? 0) >= target &&
			isReplaceable(turn, role, name),
	);
}

/**
 * Takes the next step of a replacement: removes the voter whose name a learner
 * that has caught up bears, or makes the learner a voter.
 */
export function advanceMembership(turn: Turn): Turn {
	const {state} = turn;
	const role = findLeaderRole(state);
	if (role === undefined || !isChangePossible(state, role)) {
		return turn;
	}

	const learner = findCaughtUp(turn, role);
	if (learner === undefined) {
		return turn;
	}

	const replaced = findVoter(turn, learner.name);
	const promote = (member: Member): Member =>
		member === learner ? {...member, voter: true} : member;
	const members = readMembers(state);
	return changeMembers(
		turn,
		replaced === undefined
			? members.map(promote)
			: members.filter((member) => member !== replaced),
	);
}
