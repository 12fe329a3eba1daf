import type {LogEntry, Member, ReplicaId} from './types.js';

type MessageEnvelope = Readonly<{
	group: string;
	from: ReplicaId;
	to: ReplicaId;
	term: number;
}>;

/** Asks for a vote, or whether one could be had. */
export type VoteMessage = MessageEnvelope &
	Readonly<{
		kind: 'vote' | 'pre-vote';
		lastIndex: number;
		lastTerm: number;
		/** The leader asked for this election, so it isn't a disturbance. */
		transfer: boolean;
	}>;

/** Answers a vote request. `term` of a pre-vote answer is the term asked about if granted. */
export type VoteAnswerMessage = MessageEnvelope &
	Readonly<{kind: 'vote-answer' | 'pre-vote-answer'; granted: boolean}>;

/** Heartbeat and replication: entries that follow `previousIndex`. */
export type AppendMessage = MessageEnvelope &
	Readonly<{
		kind: 'append';
		previousIndex: number;
		previousTerm: number;
		entries: readonly LogEntry[];
		commitIndex: number;
		/** Read round, echoed by the answer. */
		round: number;
	}>;

/** Tells the leader how far a replica's synced log matches. */
export type AppendAnswerMessage = MessageEnvelope &
	Readonly<{
		kind: 'append-answer';
		/** The previous entry was missing or differs; `matchIndex` is where to retry. */
		rejected: boolean;
		matchIndex: number;
		round: number;
	}>;

/** One piece of a snapshot; pieces are sent one at a time. */
export type SnapshotMessage = MessageEnvelope &
	Readonly<{
		kind: 'snapshot';
		index: number;
		lastTerm: number;
		members: readonly Member[];
		/** Position of `data` in the image, in characters. */
		offset: number;
		data: string;
		isLast: boolean;
	}>;

/** Asks for the piece of a snapshot that starts at `offset`. */
export type SnapshotAnswerMessage = MessageEnvelope &
	Readonly<{kind: 'snapshot-answer'; index: number; offset: number}>;

/** Tells a voter to start an election at once: planned leader stop. */
export type TimeoutNowMessage = MessageEnvelope &
	Readonly<{kind: 'timeout-now'}>;

/** What replicas send to each other. */
export type RaftMessage =
	| VoteMessage
	| VoteAnswerMessage
	| AppendMessage
	| AppendAnswerMessage
	| SnapshotMessage
	| SnapshotAnswerMessage
	| TimeoutNowMessage;
