import {findTerm, readLastIndex, sliceEntries} from './log.js';
import {isQuorum} from './members.js';
import {findLeaderRole} from './replication.js';
import type {RaftState} from './state.js';
import {emit, update, type Step} from './step.js';

/** Returns the last entry that this replica may count as durable. */
export function readDurableIndex(state: RaftState): number {
	return state.settings.guards.syncBeforeAcknowledge
		? state.writes.syncedIndex
		: readLastIndex(state.log);
}

/** Advances the commit index and emits the newly committed entries for applying. */
export function commitUntil(step: Step, index: number): Step {
	const {log, commitIndex, appliedIndex} = step.state;
	if (index <= commitIndex) {
		return step;
	}

	const entries = sliceEntries(log, appliedIndex + 1, index);
	const next = update(step, {commitIndex: index, appliedIndex: index});
	return emit(next, {kind: 'apply', entries});
}

function findQuorumIndex(state: RaftState): number {
	const role = findLeaderRole(state);
	const durableIndex = readDurableIndex(state);
	const findMatch = (replica: string): number =>
		replica === state.replica
			? durableIndex
			: (role?.progress[replica]?.matchIndex ?? 0);
	const candidates = [
		durableIndex,
		...Object.values(role?.progress ?? {}).map(({matchIndex}) => matchIndex),
	];
	return candidates
		.filter((index) =>
			isQuorum(state, (replica) => findMatch(replica) >= index),
		)
		.reduce((highest, index) => Math.max(highest, index), 0);
}

/** Commits the entries that are durable on a quorum of voters. */
export function advanceCommit(step: Step): Step {
	const {state} = step;
	if (findLeaderRole(state) === undefined) {
		return step;
	}

	const index = Math.min(findQuorumIndex(state), readLastIndex(state.log));
	const isOwnTerm = findTerm(state.log, index) === state.hardState.term;
	const mayCommit = isOwnTerm || !state.settings.guards.commitOwnTermOnly;
	return mayCommit ? commitUntil(step, index) : step;
}
