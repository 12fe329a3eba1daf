import type {LogEntry, Member, ReplicaId} from './types.js';

type MessageEnvelope = Readonly<{
	group: string;
	from: ReplicaId;
	to: ReplicaId;
	term: number;
}>;

/** Requests a vote, or asks in a pre-vote whether it would be granted. */
export type VoteMessage = MessageEnvelope &
	Readonly<{
		kind: 'vote' | 'pre-vote';
		lastIndex: number;
		lastTerm: number;
		/** The leader requested this election, so voters must not ignore it as disruptive. */
		transfer: boolean;
	}>;

/** Answers a vote request. A granted pre-vote carries the term of the request. */
export type VoteAnswerMessage = MessageEnvelope &
	Readonly<{kind: 'vote-answer' | 'pre-vote-answer'; granted: boolean}>;

/** Replicates the entries after `previousIndex`; a heartbeat carries none. */
export type AppendMessage = MessageEnvelope &
	Readonly<{
		kind: 'append';
		previousIndex: number;
		previousTerm: number;
		entries: readonly LogEntry[];
		commitIndex: number;
		/** Read round, echoed in the answer. */
		round: number;
	}>;

/** Tells the leader up to which index the replica's synced log matches. */
export type AppendAnswerMessage = MessageEnvelope &
	Readonly<{
		kind: 'append-answer';
		/** The previous entry is missing or differs; retry after `matchIndex`. */
		rejected: boolean;
		matchIndex: number;
		round: number;
	}>;

/** One piece of a snapshot. Pieces are sent one at a time. */
export type SnapshotMessage = MessageEnvelope &
	Readonly<{
		kind: 'snapshot';
		index: number;
		lastTerm: number;
		members: readonly Member[];
		/** Position of `data` in the snapshot, in characters. */
		offset: number;
		data: string;
		isLast: boolean;
	}>;

/** Requests the piece of a snapshot that starts at `offset`. */
export type SnapshotAnswerMessage = MessageEnvelope &
	Readonly<{kind: 'snapshot-answer'; index: number; offset: number}>;

/** Tells a voter to start an election at once, to complete a leadership transfer. */
export type TimeoutNowMessage = MessageEnvelope &
	Readonly<{kind: 'timeout-now'}>;

/** Messages between replicas. */
export type RaftMessage =
	| VoteMessage
	| VoteAnswerMessage
	| AppendMessage
	| AppendAnswerMessage
	| SnapshotMessage
	| SnapshotAnswerMessage
	| TimeoutNowMessage;
