import type {List} from 'immutable';
import type {RaftGuards} from './guards.js';
import type {RaftMessage} from './messages.js';
import type {
	HardState,
	LogEntry,
	Member,
	ReplicaId,
	Snapshot,
} from './types.js';

/** Settings of a replica; they don't change while it runs. */
export type RaftSettings = Readonly<{
	/** Minimum election timeout; each timeout is drawn between this and twice this. */
	electionTimeoutMs: number;
	heartbeatIntervalMs: number;
	/** Maximum unacknowledged appends to one replica. */
	maxInflightAppends: number;
	/** Maximum entries in one append. */
	maxAppendEntries: number;
	/** Maximum characters of commands in one append; a single entry may exceed it. */
	maxAppendCharacters: number;
	/** Maximum uncommitted entries; proposals that would exceed it are refused. */
	maxUncommittedEntries: number;
	/** Maximum reads that wait for confirmation. */
	maxPendingReads: number;
	/** Characters in one piece of a snapshot. */
	snapshotPieceCharacters: number;
	/**
	 * Entries kept in the log before a snapshot's index, so that slightly lagging
	 * replicas don't need the snapshot.
	 */
	trailingEntries: number;
	guards: RaftGuards;
}>;

/** The log after its base; a snapshot covers the entries up to the base. */
export type RaftLog = Readonly<{
	baseIndex: number;
	baseTerm: number;
	entries: List<LogEntry>;
	/** Memberships in the log and the one in effect at its base, oldest first. */
	memberships: ReadonlyArray<
		Readonly<{index: number; members: readonly Member[]}>
	>;
}>;

/** A leader's replication progress for another replica. */
export type Progress = Readonly<{
	matchIndex: number;
	nextIndex: number;
	/** Last entry index of each unacknowledged append. */
	inflight: readonly number[];
	/** Latest read round that the replica has echoed. */
	round: number;
	/** Time of the last answer from the replica. */
	heardAt: number;
	/** Position of the snapshot transfer in progress, if any. */
	snapshot?: Readonly<{index: number; offset: number; sentAt: number}>;
}>;

/** A read that waits until its round is answered and its index is applied. */
export type PendingRead = Readonly<{
	read: string;
	round: number;
	index: number;
}>;

/** State that only a leader has. */
export type LeaderRole = Readonly<{
	kind: 'leader';
	progress: Readonly<Record<ReplicaId, Progress>>;
	heartbeatAt: number;
	/** Index of the first entry of this leader's term. */
	firstIndex: number;
	round: number;
	reads: readonly PendingRead[];
	/** Commit index at the last heartbeat; a learner that has it has caught up. */
	caughtUpIndex: number;
	/** Leadership transfer in progress. */
	transfer?: Readonly<{to: ReplicaId; abandonAt: number}>;
}>;

/** Role of a replica in the current term. */
export type RaftRole =
	/** Belongs to no group and does not vote. */
	| Readonly<{kind: 'unassigned'}>
	| Readonly<{kind: 'follower'; leader?: ReplicaId}>
	| Readonly<{kind: 'pre-candidate' | 'candidate'; votes: readonly ReplicaId[]}>
	| LeaderRole;

/** A write that is not synced yet. */
export type PendingWrite = Readonly<{
	sequence: number;
	/** Term that is durable after the sync. */
	term: number;
	/** Index of the last entry that is durable after the sync. */
	lastIndex: number;
	/** Messages to send after the sync, unless the term has changed. */
	messages: readonly RaftMessage[];
}>;

/** Immutable state of a replica; its size is bounded by the settings and by snapshots. */
export type RaftState = Readonly<{
	settings: RaftSettings;
	replica: ReplicaId;
	hardState: HardState;
	role: RaftRole;
	log: RaftLog;
	snapshot?: Snapshot;
	/** Snapshot being received from the leader. */
	incoming?: Readonly<{
		index: number;
		term: number;
		length: number;
		pieces: readonly string[];
	}>;
	commitIndex: number;
	appliedIndex: number;
	/** Last index up to which the log is known to match that of the current leader. */
	verifiedIndex: number;
	/** Latest read round of the leader, echoed in the next answer. */
	leaderRound: number;
	/** Time of the last message from a leader. */
	leaderHeardAt: number;
	electionAt: number;
	writes: Readonly<{
		issued: number;
		syncedTerm: number;
		syncedIndex: number;
		pending: readonly PendingWrite[];
	}>;
	/** State of the random number generator for election timeouts. */
	random: number;
}>;
