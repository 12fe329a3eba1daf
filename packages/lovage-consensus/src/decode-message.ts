import type {RaftMessage} from './messages.js';
import type {JoiningMember, LogEntry, Member} from './types.js';

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Whether a value is an index, a term or a round; they are counted up by one. */
function isNumber(value: unknown): boolean {
	return (
		Number.isSafeInteger(value) &&
		Number(value) >= 0 &&
		Number(value) < Number.MAX_SAFE_INTEGER
	);
}

function isText(value: unknown): boolean {
	return typeof value === 'string';
}

function isName(value: unknown): boolean {
	return typeof value === 'string' && value !== '';
}

/** Whether a value describes a replica that may join. */
export function isJoiningMember(value: unknown): value is JoiningMember {
	return (
		isFields(value) &&
		isName(value.replica) &&
		isText(value.name) &&
		isText(value.address)
	);
}

/** Whether a value is a member of a group. */
export function isMember(value: unknown): value is Member {
	return (
		isJoiningMember(value) &&
		typeof (value as Partial<Member>).voter === 'boolean'
	);
}

function isMemberList(value: unknown): boolean {
	return Array.isArray(value) && value.every((member) => isMember(member));
}

/** Whether a value is an entry of the log. */
export function isLogEntry(value: unknown): value is LogEntry {
	if (!isFields(value) || !isNumber(value.index) || !isNumber(value.term)) {
		return false;
	}

	switch (value.kind) {
		case 'command': {
			return isText(value.data);
		}

		case 'membership': {
			return isMemberList(value.members);
		}

		case 'noop': {
			return true;
		}

		default: {
			return false;
		}
	}
}

/** Whether entries follow one another and the entry at `previousIndex`, as leaders send them. */
function areEntriesAfter(entries: unknown, previousIndex: unknown): boolean {
	return (
		Array.isArray(entries) &&
		entries.every(
			(entry: unknown, position) =>
				isLogEntry(entry) &&
				entry.index === Number(previousIndex) + position + 1,
		)
	);
}

type Check = (message: Fields) => boolean;

const isVote: Check = ({lastIndex, lastTerm, transfer}) =>
	isNumber(lastIndex) && isNumber(lastTerm) && typeof transfer === 'boolean';

const isVoteAnswer: Check = ({granted}) => typeof granted === 'boolean';

/** Checks of the fields that only messages of one kind have. */
const CHECKS: Readonly<Record<RaftMessage['kind'], Check>> = {
	vote: isVote,
	'pre-vote': isVote,
	'vote-answer': isVoteAnswer,
	'pre-vote-answer': isVoteAnswer,
	append: ({previousIndex, previousTerm, entries, commitIndex, round}) =>
		isNumber(previousIndex) &&
		isNumber(previousTerm) &&
		isNumber(commitIndex) &&
		isNumber(round) &&
		areEntriesAfter(entries, previousIndex),
	'append-answer': ({rejected, matchIndex, round}) =>
		typeof rejected === 'boolean' && isNumber(matchIndex) && isNumber(round),
	snapshot: ({index, lastTerm, offset, members, data, isLast}) =>
		isNumber(index) &&
		isNumber(lastTerm) &&
		isNumber(offset) &&
		isMemberList(members) &&
		isText(data) &&
		typeof isLast === 'boolean',
	'snapshot-answer': ({index, offset}) => isNumber(index) && isNumber(offset),
	'timeout-now': () => true,
};
const CHECKS_BY_KIND: ReadonlyMap<unknown, Check> = new Map(
	Object.entries(CHECKS),
);

/** Whether a value from another replica is a message in all of its fields. */
export function isRaftMessage(value: unknown): value is RaftMessage {
	return (
		isFields(value) &&
		isText(value.group) &&
		isName(value.from) &&
		isName(value.to) &&
		isNumber(value.term) &&
		CHECKS_BY_KIND.get(value.kind)?.(value) === true
	);
}
