import {appendToLog, emit, update, updateHardState, type Step} from './step.js';
import {resetElectionTimer} from './term.js';
import type {JoiningMember, Member} from './types.js';

const INITIAL_TERM = 1;
const REPLICA_PREFIX_LENGTH = 8;

function areUnique(values: readonly string[]): boolean {
	return new Set(values).size === values.length;
}

function isValidMembership(
	step: Step,
	members: readonly JoiningMember[],
): boolean {
	const replicas = members.map(({replica}) => replica);
	return (
		replicas.includes(step.state.replica) &&
		areUnique(replicas) &&
		areUnique(members.map(({name}) => name))
	);
}

/** Derives the group id from the initial members, so that different groups never mix. */
function createGroupId(
	group: string,
	members: readonly JoiningMember[],
): string {
	const replicaPrefixes = members
		.map(({replica}) => replica.slice(0, REPLICA_PREFIX_LENGTH))
		.toSorted();
	return [group, ...replicaPrefixes].join('.');
}

function bootstrapGroup(
	step: Step,
	group: string,
	members: readonly JoiningMember[],
): Step {
	// Sorted, so that every initial member writes the same entry and the logs match.
	const voters = members
		.map((member): Member => ({...member, voter: true}))
		.toSorted((a, b) => (a.replica < b.replica ? -1 : 1));
	const withGroup = updateHardState(step, {group, term: INITIAL_TERM});
	const followed = update(withGroup, {role: {kind: 'follower'}});
	return appendToLog(resetElectionTimer(followed), [
		{kind: 'membership', index: 1, term: INITIAL_TERM, members: voters},
	]);
}

/** Makes an unassigned replica an initial member of a new group. */
export function initialise(
	step: Step,
	group: string,
	members: readonly JoiningMember[],
): Step {
	const {role, hardState} = step.state;
	const groupId = createGroupId(group, members);
	if (role.kind !== 'unassigned') {
		const outcome =
			hardState.group === groupId ? 'already-initialised' : 'invalid';
		return emit(step, {kind: 'initialise-answered', outcome});
	}

	return isValidMembership(step, members)
		? emit(bootstrapGroup(step, groupId, members), {
				kind: 'initialise-answered',
				outcome: 'initialised',
			})
		: emit(step, {kind: 'initialise-answered', outcome: 'invalid'});
}
