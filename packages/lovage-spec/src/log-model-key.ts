import type {
	LogEntry,
	RaftMessage,
	RaftRole,
	RecoveredState,
} from '@lovagevalve/consensus';
import type {LogNode, LogWorld} from './log-model-world.js';

function describeEntry(entry: LogEntry): string {
	const members =
		entry.kind === 'membership'
			? entry.members
					.map(({replica, voter}) => (voter ? replica : `(${replica})`))
					.join(',')
			: '';
	return `${entry.kind}${entry.index}.${entry.term}${members}`;
}

function describeEntries(entries: Iterable<LogEntry>): string {
	return Array.from(entries, describeEntry).join(' ');
}

function describeDisk({hardState, entries, replica}: RecoveredState): string {
	const {term, vote = '', group = ''} = hardState;
	return `${replica}/${group}/${term}/${vote}/${describeEntries(entries)}`;
}

function describeRole(role: RaftRole): string {
	return JSON.stringify(role);
}

function describeMessage(message: RaftMessage): string {
	return JSON.stringify(message);
}

function describeNode({raft, disk, unsynced}: LogNode): string {
	const {writes, hardState, log} = raft;
	const pending = writes.pending.map(
		({lastIndex, term, messages}) =>
			`${lastIndex}.${term}${messages.map(describeMessage).join(' ')}`,
	);
	const parts = [
		hardState.term,
		hardState.vote ?? '',
		describeRole(raft.role),
		log.baseIndex,
		describeEntries(log.entries),
		raft.commitIndex,
		raft.verifiedIndex,
		raft.leaderRound,
		writes.syncedTerm,
		writes.syncedIndex,
		pending.join(' '),
		unsynced.length,
		describeDisk(disk),
	];
	return parts.join(';');
}

/** Creates a key that is equal for worlds with the same future behaviour. */
export function createWorldKey(
	world: LogWorld,
	includesLeaders = false,
): string {
	const {nodes, committed, leaders, reads, violation = ''} = world;
	const parts = [
		nodes.map(describeNode).join('|'),
		describeEntries(committed),
		includesLeaders ? leaders.join(' ') : '',
		JSON.stringify(reads),
		violation,
	];
	return parts.join('#');
}
