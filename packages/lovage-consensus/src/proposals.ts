import type {RefusalReason} from './events.js';
import {readLastIndex} from './log.js';
import {findLeaderRole, replicateAll} from './replication.js';
import type {LeaderRole, RaftState} from './state.js';
import {appendToLog, emit, findLeader, type Step} from './step.js';
import type {LogEntry} from './types.js';

function findRefusalReason(
	state: RaftState,
	role: LeaderRole | undefined,
	count: number,
): RefusalReason | undefined {
	if (role === undefined) {
		return 'not-leader';
	}

	if (role.transfer !== undefined) {
		return 'busy';
	}

	const uncommitted = readLastIndex(state.log) - state.commitIndex + count;
	return uncommitted > state.settings.maxUncommittedEntries
		? 'overloaded'
		: undefined;
}

/** Appends commands to the log, with one write and one append message for all. */
export function propose(
	step: Step,
	proposal: string,
	commands: readonly string[],
): Step {
	const {state} = step;
	const role = findLeaderRole(state);
	const reason = findRefusalReason(state, role, commands.length);
	if (reason !== undefined) {
		const leader = findLeader(state);
		return emit(step, {kind: 'proposal-refused', proposal, reason, leader});
	}

	const {term} = state.hardState;
	const firstIndex = readLastIndex(state.log) + 1;
	const entries = commands.map((data, position): LogEntry => ({
		kind: 'command',
		index: firstIndex + position,
		term,
		data,
	}));
	const accepted = emit(appendToLog(step, entries), {
		kind: 'proposal-accepted',
		proposal,
		firstIndex,
		term,
	});
	return replicateAll(accepted);
}
