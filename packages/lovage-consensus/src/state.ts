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

/** Fixed settings of a replica. */
export type RaftSettings = Readonly<{
	/** Shortest election timeout; each one is drawn between this and its double. */
	electionTimeoutMs: number;
	heartbeatIntervalMs: number;
	/** Appends under way to one replica. */
	maxInflightAppends: number;
	/** Entries in one append. */
	maxAppendEntries: number;
	/** Characters of commands in one append, except that one entry always fits. */
	maxAppendCharacters: number;
	/** Entries that are not committed yet; more proposals are refused. */
	maxUncommittedEntries: number;
	/** Reads that wait for their confirmation. */
	maxPendingReads: number;
	/** Characters of one piece of a snapshot. */
	snapshotPieceCharacters: number;
	/** Entries kept behind a snapshot for replicas that are a little behind. */
	trailingEntries: number;
	guards: RaftGuards;
}>;

/** The tail of the log behind a base that a snapshot covers. */
export type RaftLog = Readonly<{
	baseIndex: number;
	baseTerm: number;
	entries: List<LogEntry>;
	/** Memberships that are in the log or at its base, oldest first. */
	memberships: ReadonlyArray<
		Readonly<{index: number; members: readonly Member[]}>
	>;
}>;

/** What a leader knows of another replica. */
export type Progress = Readonly<{
	matchIndex: number;
	nextIndex: number;
	/** Last indexes of the appends under way. */
	inflight: readonly number[];
	/** Read round that the replica echoed last. */
	round: number;
	/** When it answered last. */
	heardAt: number;
	/** The position of a snapshot transfer; absent if none is under way. */
	snapshot?: Readonly<{index: number; offset: number; sentAt: number}>;
}>;

/** A read that waits for its round, its commit index or both. */
export type PendingRead = Readonly<{
	read: string;
	round: number;
	index: number;
}>;

/** What a leader keeps. */
export type LeaderRole = Readonly<{
	kind: 'leader';
	progress: Readonly<Record<ReplicaId, Progress>>;
	heartbeatAt: number;
	/** First entry of this leader's term. */
	firstIndex: number;
	round: number;
	reads: readonly PendingRead[];
	/** Commit index at the last heartbeat: a learner that holds it has caught up. */
	caughtUpIndex: number;
	/** Planned hand-over of the lead. */
	transfer?: Readonly<{to: ReplicaId; abandonAt: number}>;
}>;

/** What a replica does in its term. */
export type RaftRole =
	/** Belongs to no group; votes for nobody. */
	| Readonly<{kind: 'unassigned'}>
	| Readonly<{kind: 'follower'; leader?: ReplicaId}>
	| Readonly<{kind: 'pre-candidate' | 'candidate'; votes: readonly ReplicaId[]}>
	| LeaderRole;
/** A write under way. */
export type PendingWrite = Readonly<{
	sequence: number;
	/** Term that is on disk once it is synced. */
	term: number;
	/** Last entry that is on disk once it is synced. */
	lastIndex: number;
	/** Sent once it is synced, unless the term has changed. */
	messages: readonly RaftMessage[];
}>;

/** A replica; immutable, bounded by its settings and the host's snapshots. */
export type RaftState = Readonly<{
	settings: RaftSettings;
	replica: ReplicaId;
	hardState: HardState;
	role: RaftRole;
	log: RaftLog;
	snapshot?: Snapshot;
	/** Pieces of a snapshot that is being received. */
	incoming?: Readonly<{
		index: number;
		term: number;
		length: number;
		pieces: readonly string[];
	}>;
	commitIndex: number;
	appliedIndex: number;
	/** Last entry known to be equal to the leader's of this term. */
	verifiedIndex: number;
	/** Read round of the leader, echoed with the next answer. */
	leaderRound: number;
	/** When a leader of this term was heard last. */
	leaderHeardAt: number;
	electionAt: number;
	writes: Readonly<{
		issued: number;
		syncedTerm: number;
		syncedIndex: number;
		pending: readonly PendingWrite[];
	}>;
	/** State of the random generator for election timeouts. */
	random: number;
}>;
