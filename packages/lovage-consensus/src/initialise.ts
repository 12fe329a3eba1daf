import {resetElection} from './term.js';
import {appendOwn, emit, update, updateHardState, type Turn} from './turn.js';
import type {JoiningMember, Member} from './types.js';

const FIRST_TERM = 1;
const IDENTITY_CHARACTERS = 8;

function isUnique(values: readonly string[]): boolean {
	return new Set(values).size === values.length;
}

function isValid(turn: Turn, members: readonly JoiningMember[]): boolean {
	const replicas = members.map(({replica}) => replica);
	return (
		replicas.includes(turn.state.replica) &&
		isUnique(replicas) &&
		isUnique(members.map(({name}) => name))
	);
}

/** Differs whenever the founding members do: groups never mix. */
function createGroup(group: string, members: readonly JoiningMember[]): string {
	const identities = members
		.map(({replica}) => replica.slice(0, IDENTITY_CHARACTERS))
		.toSorted();
	return [group, ...identities].join('.');
}

function found(
	turn: Turn,
	group: string,
	members: readonly JoiningMember[],
): Turn {
	// Every founding replica writes the same entry, so that their logs match.
	const voters = members
		.map((member): Member => ({...member, voter: true}))
		.toSorted((a, b) => (a.replica < b.replica ? -1 : 1));
	const assigned = updateHardState(turn, {group, term: FIRST_TERM});
	const followed = update(assigned, {role: {kind: 'follower'}});
	return appendOwn(resetElection(followed), [
		{kind: 'membership', index: 1, term: FIRST_TERM, members: voters},
	]);
}

/** Makes an unassigned replica a founding member of a new group. */
export function initialise(
	turn: Turn,
	group: string,
	members: readonly JoiningMember[],
): Turn {
	const {role, hardState} = turn.state;
	const identity = createGroup(group, members);
	if (role.kind !== 'unassigned') {
		const outcome =
			hardState.group === identity ? 'already-initialised' : 'invalid';
		return emit(turn, {kind: 'initialise-answered', outcome});
	}

	return isValid(turn, members)
		? emit(found(turn, identity, members), {
				kind: 'initialise-answered',
				outcome: 'initialised',
			})
		: emit(turn, {kind: 'initialise-answered', outcome: 'invalid'});
}
