import {invariant} from '@lovagevalve/core';
import {List} from 'immutable';
import type {RaftLog} from './state.js';
import type {LogEntry, Member, Snapshot} from './types.js';

/** Limits on the entries of one append message. */
export type EntryLimits = Readonly<{count: number; characters: number}>;

/** Creates a log from a snapshot and the entries that follow it. */
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

/** Returns the index of the last entry, or the base index if the log is empty. */
export function readLastIndex(log: RaftLog): number {
	return log.baseIndex + log.entries.size;
}

/** Returns the term of an entry, or `undefined` if the log doesn't contain it. */
export function findTerm(log: RaftLog, index: number): number | undefined {
	if (index === log.baseIndex) {
		return log.baseTerm;
	}

	return index < log.baseIndex
		? undefined
		: log.entries.get(index - log.baseIndex - 1)?.term;
}

/** Returns the term of the last entry, or the base term if the log is empty. */
export function readLastTerm(log: RaftLog): number {
	return log.entries.last()?.term ?? log.baseTerm;
}

/** Returns the entries from `first` to `last`, inclusive. */
export function sliceEntries(
	log: RaftLog,
	first: number,
	last: number,
): readonly LogEntry[] {
	const start = first - log.baseIndex - 1;
	invariant(start >= 0, 'requested log entries are at or below the base index');
	return log.entries.slice(start, last - log.baseIndex).toArray();
}

function countCharacters(entry: LogEntry): number {
	return entry.kind === 'command' ? entry.data.length : 0;
}

/** Returns as many entries from `first` on as the limits allow, but at least one. */
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

/** Appends entries, which must follow the last one. */
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

/** Removes the entries after `index`. */
export function truncateLog(log: RaftLog, index: number): RaftLog {
	invariant(index >= log.baseIndex, 'log truncated below its base index');
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

/** Removes the entries up to and including `index`, which becomes the base. */
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

/** Returns the members at `index`, which must not be below the base of the log. */
export function readMembersAt(log: RaftLog, index: number): readonly Member[] {
	return log.memberships.findLast((item) => item.index <= index)?.members ?? [];
}

/** Returns the latest membership and the index of its log entry. */
export function readMembership(log: RaftLog): RaftLog['memberships'][number] {
	return log.memberships.at(-1) ?? {index: 0, members: []};
}

/** Returns whether a log with this last entry is at least as up to date as `log`. */
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
