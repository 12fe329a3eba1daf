import {findTerm, readLastIndex, sliceEntries} from './log.js';
import {isQuorum} from './members.js';
import {findLeaderRole} from './replication.js';
import type {RaftState} from './state.js';
import {emit, update, type Turn} from './turn.js';

/** Last entry of this replica that counts as stored. */
export function readStoredIndex(state: RaftState): number {
	return state.settings.guards.syncBeforeAcknowledge
		? state.writes.syncedIndex
		: readLastIndex(state.log);
}

/** Raises the commit index and hands out what it covers. */
export function commitUntil(turn: Turn, index: number): Turn {
	const {log, commitIndex, appliedIndex} = turn.state;
	if (index <= commitIndex) {
		return turn;
	}

	const entries = sliceEntries(log, appliedIndex + 1, index);
	const next = update(turn, {commitIndex: index, appliedIndex: index});
	return emit(next, {kind: 'apply', entries});
}

function findQuorumIndex(state: RaftState): number {
	const role = findLeaderRole(state);
	const stored = readStoredIndex(state);
	const findMatch = (replica: string): number =>
		replica === state.replica
			? stored
			: (role?.progress[replica]?.matchIndex ?? 0);
	const candidates = [
		stored,
		...Object.values(role?.progress ?? {}).map(({matchIndex}) => matchIndex),
	];
	return candidates
		.filter((index) =>
			isQuorum(state, (replica) => findMatch(replica) >= index),
		)
		.reduce((highest, index) => Math.max(highest, index), 0);
}

/** Commits what a quorum has stored. */
export function advanceCommit(turn: Turn): Turn {
	const {state} = turn;
	if (findLeaderRole(state) === undefined) {
		return turn;
	}

	const index = Math.min(findQuorumIndex(state), readLastIndex(state.log));
	const isOwnTerm = findTerm(state.log, index) === state.hardState.term;
	const mayCommit = isOwnTerm || !state.settings.guards.commitOwnTermOnly;
	return mayCommit ? commitUntil(turn, index) : turn;
}
