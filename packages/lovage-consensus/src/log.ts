import {invariant} from '@lovagevalve/core';
import {List} from 'immutable';
import type {RaftLog} from './state.js';
import type {LogEntry, Member, Snapshot} from './types.js';

/** Bounds on the entries of one append. */
export type EntryLimits = Readonly<{count: number; characters: number}>;

/** Creates the log that a replica starts with. */
export function createLog(
	snapshot: Snapshot | undefined,
	entries: readonly LogEntry[],
): RaftLog {
	const base: RaftLog = {
		baseIndex: snapshot?.index ?? 0,
		baseTerm: snapshot?.term ?? 0,
		entries: List(),
		memberships: [
			{index: snapshot?.index ?? 0, members: snapshot?.members ?? []},
		],
	};
	return appendEntries(base, entries);
}

/** Index of the last entry. */
export function readLastIndex(log: RaftLog): number {
	return log.baseIndex + log.entries.size;
}

/** Term of an entry; absent for entries that the log doesn't hold. */
export function findTerm(log: RaftLog, index: number): number | undefined {
	if (index === log.baseIndex) {
		return log.baseTerm;
	}

	return index < log.baseIndex
		? undefined
		: log.entries.get(index - log.baseIndex - 1)?.term;
}

/** Term of the last entry. */
export function readLastTerm(log: RaftLog): number {
	return log.entries.last()?.term ?? log.baseTerm;
}

/** Entries from `first` to `last`, both included. */
export function sliceEntries(
	log: RaftLog,
	first: number,
	last: number,
): readonly LogEntry[] {
	const start = first - log.baseIndex - 1;
	invariant(start >= 0, 'entries below the base of the log were asked for');
	return log.entries.slice(start, last - log.baseIndex).toArray();
}

function countCharacters(entry: LogEntry): number {
	return entry.kind === 'command' ? entry.data.length : 0;
}

/** Entries from `first` on, as many as the limits allow and at least one. */
export function takeEntries(
	log: RaftLog,
	first: number,
	limits: EntryLimits,
): readonly LogEntry[] {
	const candidates = sliceEntries(log, first, first + limits.count - 1);
	let characters = 0;
	const end = candidates.findIndex((entry, position) => {
		characters += countCharacters(entry);
		return position > 0 && characters > limits.characters;
	});
	return end === -1 ? candidates : candidates.slice(0, end);
}

/** Adds entries that follow the last one. */
export function appendEntries(
	log: RaftLog,
	entries: readonly LogEntry[],
): RaftLog {
	if (entries.length === 0) {
		return log;
	}

	const memberships = entries.flatMap((entry) =>
		entry.kind === 'membership'
			? [{index: entry.index, members: entry.members}]
			: [],
	);
	return {
		...log,
		entries: log.entries.withMutations((list) => {
			entries.forEach((entry) => {
				list.push(entry);
			});
		}),
		memberships:
			memberships.length === 0
				? log.memberships
				: [...log.memberships, ...memberships],
	};
}

/** Drops the entries after `index`. */
export function truncateLog(log: RaftLog, index: number): RaftLog {
	invariant(index >= log.baseIndex, 'the log was truncated below its base');
	if (index >= readLastIndex(log)) {
		return log;
	}

	return {
		...log,
		entries: log.entries.setSize(index - log.baseIndex),
		memberships: log.memberships.filter(
			(membership) => membership.index <= index,
		),
	};
}

/** Drops the entries up to `index`. */
export function compactLog(log: RaftLog, index: number): RaftLog {
	const term = findTerm(log, index);
	if (index <= log.baseIndex || term === undefined) {
		return log;
	}

	const latest = log.memberships.findLast(
		(membership) => membership.index <= index,
	);
	return {
		baseIndex: index,
		baseTerm: term,
		entries: log.entries.slice(index - log.baseIndex),
		memberships: log.memberships.filter(
			(membership) => membership === latest || membership.index > index,
		),
	};
}

/** Members as of an index that the log or its base covers. */
export function readMembersAt(log: RaftLog, index: number): readonly Member[] {
	return log.memberships.findLast((item) => item.index <= index)?.members ?? [];
}

/** Latest members and the index of the entry that names them. */
export function readMembership(log: RaftLog): RaftLog['memberships'][number] {
	return log.memberships.at(-1) ?? {index: 0, members: []};
}

/** Whether a log that ends so is at least as complete as this one. */
export function isUpToDate(
	log: RaftLog,
	lastIndex: number,
	lastTerm: number,
): boolean {
	const ownTerm = readLastTerm(log);
	return (
		lastTerm > ownTerm ||
		(lastTerm === ownTerm && lastIndex >= readLastIndex(log))
	);
}
