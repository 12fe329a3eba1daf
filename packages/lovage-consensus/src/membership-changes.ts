import type {RefusalReason} from './events.js';
import {readLastIndex, readMembership} from './log.js';
import {readMembers} from './members.js';
import {
	alignProgressWithMembers,
	findLeaderRole,
	replicateAll,
} from './replication.js';
import type {LeaderRole, RaftState} from './state.js';
import {appendToLog, emit, findLeader, type Step} from './step.js';
import type {JoiningMember, Member, ReplicaId} from './types.js';

/** Maximum number of members of a group, including learners. */
const MAX_MEMBERS = 9;

/** Returns whether the previous change and an entry of the current term are committed. */
function isChangePossible(state: RaftState, role: LeaderRole): boolean {
	const isPreviousCommitted =
		readMembership(state.log).index <= state.commitIndex &&
		role.firstIndex <= state.commitIndex;
	return isPreviousCommitted || !state.settings.guards.oneChangeAtATime;
}

function changeMembers(step: Step, members: readonly Member[]): Step {
	const {log, hardState} = step.state;
	const appended = appendToLog(step, [
		{
			kind: 'membership',
			index: readLastIndex(log) + 1,
			term: hardState.term,
			members,
		},
	]);
	return replicateAll(alignProgressWithMembers(appended));
}

function answerMembershipRequest(
	step: Step,
	replica: ReplicaId,
	outcome: 'taken' | RefusalReason,
): Step {
	const leader = findLeader(step.state);
	return emit(step, {kind: 'membership-answered', replica, outcome, leader});
}

function isRecentlyHeard(
	step: Step,
	role: LeaderRole,
	replica: ReplicaId,
): boolean {
	const heardAt = role.progress[replica]?.heardAt;
	return (
		replica === step.state.replica ||
		(heardAt !== undefined &&
			step.now - heardAt < step.state.settings.electionTimeoutMs)
	);
}

function findVoterByName(step: Step, name: string): Member | undefined {
	return readMembers(step.state).find(
		(member) => member.voter && member.name === name,
	);
}

function addMember(step: Step, member: JoiningMember): Step {
	const {guards} = step.state.settings;
	const remaining = readMembers(step.state).filter(
		(known) => known.voter || known.name !== member.name,
	);
	if (remaining.length >= MAX_MEMBERS) {
		return answerMembershipRequest(step, member.replica, 'overloaded');
	}

	const added: Member = {...member, voter: !guards.learnerBeforeVoter};
	const changed = changeMembers(step, [...remaining, added]);
	return answerMembershipRequest(changed, member.replica, 'taken');
}

/** Adds a replica as a learner; does nothing if it is already a member. */
export function requestJoin(step: Step, member: JoiningMember): Step {
	const {state} = step;
	const role = findLeaderRole(state);
	const members = readMembers(state);
	if (role === undefined) {
		return answerMembershipRequest(step, member.replica, 'not-leader');
	}

	if (members.some(({replica}) => replica === member.replica)) {
		return answerMembershipRequest(step, member.replica, 'taken');
	}

	const currentVoter = findVoterByName(step, member.name);
	if (
		currentVoter !== undefined &&
		isRecentlyHeard(step, role, currentVoter.replica)
	) {
		return answerMembershipRequest(step, member.replica, 'name-in-use');
	}

	return isChangePossible(state, role) && role.transfer === undefined
		? addMember(step, member)
		: answerMembershipRequest(step, member.replica, 'busy');
}

/** Removes a member; refuses to remove the last voter. */
export function requestRemoval(step: Step, replica: ReplicaId): Step {
	const {state} = step;
	const role = findLeaderRole(state);
	if (role === undefined) {
		return answerMembershipRequest(step, replica, 'not-leader');
	}

	const members = readMembers(state);
	if (!members.some((member) => member.replica === replica)) {
		return answerMembershipRequest(step, replica, 'taken');
	}

	const remaining = members.filter((member) => member.replica !== replica);
	if (!remaining.some(({voter}) => voter)) {
		return answerMembershipRequest(step, replica, 'invalid');
	}

	return isChangePossible(state, role)
		? answerMembershipRequest(changeMembers(step, remaining), replica, 'taken')
		: answerMembershipRequest(step, replica, 'busy');
}

function isNameReplaceable(
	step: Step,
	role: LeaderRole,
	name: string,
): boolean {
	const voter = findVoterByName(step, name);
	return voter === undefined || !isRecentlyHeard(step, role, voter.replica);
}

function findCaughtUpLearner(step: Step, role: LeaderRole): Member | undefined {
	const {log} = step.state;
	const requiredIndex = Math.max(role.caughtUpIndex, readMembership(log).index);
	return readMembers(step.state).find(
		({voter, replica, name}) =>
			!voter &&
			isRecentlyHeard(step, role, replica) &&
			(role.progress[replica]?.matchIndex ?? 0) >= requiredIndex &&
			isNameReplaceable(step, role, name),
	);
}

/**
 * Performs the next change of a replacement once a learner has caught up:
 * removes the voter with the same name, or promotes the learner if there is none.
 */
export function advanceMembership(step: Step): Step {
	const {state} = step;
	const role = findLeaderRole(state);
	if (role === undefined || !isChangePossible(state, role)) {
		return step;
	}

	const learner = findCaughtUpLearner(step, role);
	if (learner === undefined) {
		return step;
	}

	const replaced = findVoterByName(step, learner.name);
	const promote = (member: Member): Member =>
		member === learner ? {...member, voter: true} : member;
	const members = readMembers(state);
	return changeMembers(
		step,
		replaced === undefined
			? members.map(promote)
			: members.filter((member) => member !== replaced),
	);
}
