import type {List} from 'immutable';
import type {RaftGuards} from './guards.js';

/** Identity of a replica: random, made with its disk's data folder, never reused. */
export type ReplicaId = string;

/** One replica of the group, as the replicated log names it. */
export type Member = Readonly<{
	replica: ReplicaId;
	/** Operator's name of the instance; stays when the identity changes. */
	name: string;
	/** Base URL. */
	address: string;
	/** Learners receive the log and count in no quorum. */
	voter: boolean;
}>;

/** One entry of the replicated log; indexes start at 1. */
export type LogEntry =
	| Readonly<{kind: 'command'; index: number; term: number; data: string}>
	| Readonly<{
			kind: 'membership';
			index: number;
			term: number;
			members: readonly Member[];
	  }>
	| Readonly<{kind: 'noop'; index: number; term: number}>;

/** What a replica must not forget about elections. */
export type HardState = Readonly<{
	/** Group that the replica belongs to; absent while unassigned. */
	group?: string;
	term: number;
	/** Candidate that got this replica's vote in `term`. */
	vote?: ReplicaId;
}>;

/** Image of the state machine that stands for the log up to `index`. */
export type Snapshot = Readonly<{
	index: number;
	term: number;
	members: readonly Member[];
	data: string;
}>;

type MessageHead = Readonly<{
	group: string;
	from: ReplicaId;
	to: ReplicaId;
	term: number;
}>;

/** Asks for a vote, or whether one could be had. */
export type VoteMessage = MessageHead &
	Readonly<{
		kind: 'vote' | 'pre-vote';
		lastIndex: number;
		lastTerm: number;
		/** The leader asked for this election, so it isn't a disturbance. */
		transfer: boolean;
	}>;

/** Answers a vote request. `term` of a pre-vote answer is the term asked about if granted. */
export type VoteAnswerMessage = MessageHead &
	Readonly<{kind: 'vote-answer' | 'pre-vote-answer'; granted: boolean}>;

/** Heartbeat and replication: entries that follow `previousIndex`. */
export type AppendMessage = MessageHead &
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
export type AppendAnswerMessage = MessageHead &
	Readonly<{
		kind: 'append-answer';
		/** The previous entry was missing or differs; `matchIndex` is where to retry. */
		rejected: boolean;
		matchIndex: number;
		round: number;
	}>;

/** One piece of a snapshot; pieces are sent one at a time. */
export type SnapshotMessage = MessageHead &
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
export type SnapshotAnswerMessage = MessageHead &
	Readonly<{kind: 'snapshot-answer'; index: number; offset: number}>;

/** Tells a voter to start an election at once: planned leader stop. */
export type TimeoutNowMessage = MessageHead & Readonly<{kind: 'timeout-now'}>;

/** What replicas send to each other. */
export type RaftMessage =
	| VoteMessage
	| VoteAnswerMessage
	| AppendMessage
	| AppendAnswerMessage
	| SnapshotMessage
	| SnapshotAnswerMessage
	| TimeoutNowMessage;

/** A replica that asks to join, or that a membership change names. */
export type JoiningMember = Readonly<{
	replica: ReplicaId;
	name: string;
	address: string;
}>;

/** What happens to a replica; `now` is monotonic, in milliseconds. */
export type RaftEvent = Readonly<{now: number}> &
	(
		| Readonly<{kind: 'ticked'}>
		| Readonly<{kind: 'received'; message: RaftMessage}>
		/** Commands that share one write; `proposal` names them to the host. */
		| Readonly<{
				kind: 'proposed';
				proposal: string;
				commands: readonly string[];
		  }>
		| Readonly<{kind: 'read-requested'; read: string}>
		/** Every `persist` and `persist-snapshot` up to `sequence` is on disk. */
		| Readonly<{kind: 'synced'; sequence: number}>
		/** First membership of a new group; the same on each founding replica. */
		| Readonly<{
				kind: 'initialised';
				group: string;
				members: readonly JoiningMember[];
		  }>
		/** A replica with a new identity asks to become a member. */
		| Readonly<{kind: 'join-requested'; member: JoiningMember}>
		| Readonly<{kind: 'removal-requested'; replica: ReplicaId}>
		/** The host made an image of its state as of `index`, which it has applied. */
		| Readonly<{kind: 'snapshot-taken'; index: number; data: string}>
		/** Planned stop: hand the lead to another voter. */
		| Readonly<{kind: 'transfer-requested'}>
	);

/** Why a request to the group was not taken. */
export type RefusalReason =
	/** Ask the leader, if known. */
	| 'not-leader'
	/** Too much is under way already. */
	| 'overloaded'
	/** The lead is being handed over, or a membership change isn't finished. */
	| 'busy'
	/** A member of this name was heard of a moment ago. */
	| 'name-in-use'
	/** The request makes no sense in this state. */
	| 'invalid';

/** What the host does after a step, in order. */
export type RaftEffect =
	| Readonly<{kind: 'send'; message: RaftMessage}>
	/** Write and sync, in the order of the sequence numbers; answered by `synced`. */
	| Readonly<{
			kind: 'persist';
			sequence: number;
			hardState?: HardState;
			/** Entries after this index are dropped before `entries` are added. */
			truncateAfter?: number;
			entries: readonly LogEntry[];
	  }>
	/** Store an image; with `replacesLog` every stored entry goes. Answered by `synced`. */
	| Readonly<{
			kind: 'persist-snapshot';
			sequence: number;
			snapshot: Snapshot;
			replacesLog: boolean;
			/** Entries up to this index aren't needed any more. */
			dropUntil: number;
	  }>
	/** Committed entries, each handed out once per process, in order. */
	| Readonly<{kind: 'apply'; entries: readonly LogEntry[]}>
	/** Replace the state machine by this image. */
	| Readonly<{kind: 'install-snapshot'; snapshot: Snapshot}>
	/** The commands got consecutive indexes from `firstIndex`; they may still be lost. */
	| Readonly<{
			kind: 'proposal-accepted';
			proposal: string;
			firstIndex: number;
			term: number;
	  }>
	/** Nothing of the proposal is in any log. */
	| Readonly<{
			kind: 'proposal-refused';
			proposal: string;
			reason: RefusalReason;
			leader?: ReplicaId;
	  }>
	/** The state applied so far holds everything committed when the read began. */
	| Readonly<{kind: 'read-confirmed'; read: string; index: number}>
	| Readonly<{
			kind: 'read-refused';
			read: string;
			reason: RefusalReason;
			leader?: ReplicaId;
	  }>
	| Readonly<{
			kind: 'initialise-answered';
			outcome: 'initialised' | 'already-initialised' | 'invalid';
	  }>
	| Readonly<{
			kind: 'membership-answered';
			replica: ReplicaId;
			/** `taken`: under way or done; asking again is harmless. */
			outcome: 'taken' | RefusalReason;
			leader?: ReplicaId;
	  }>
	| Readonly<{kind: 'became-leader'; term: number}>
	/** Accepted proposals not yet applied have an unknown outcome. */
	| Readonly<{kind: 'stepped-down'; term: number; leader?: ReplicaId}>;

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

/** What a replica does in its term. */
export type RaftRole =
	/** Belongs to no group; votes for nobody. */
	| Readonly<{kind: 'unassigned'}>
	| Readonly<{kind: 'follower'; leader?: ReplicaId}>
	| Readonly<{kind: 'pre-candidate'; votes: readonly ReplicaId[]}>
	| Readonly<{
			kind: 'candidate';
			votes: readonly ReplicaId[];
			transfer: boolean;
	  }>
	| Readonly<{
			kind: 'leader';
			progress: Readonly<Record<ReplicaId, Progress>>;
			heartbeatAt: number;
			/** First entry of this leader's term. */
			firstIndex: number;
			round: number;
			reads: readonly PendingRead[];
			/** Replicas that asked to join and aren't voters yet. */
			joining: readonly JoiningMember[];
			transfer?: Readonly<{to: ReplicaId; abandonAt: number; isSent: boolean}>;
	  }>;

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

/** What a replica finds on its disk at its start. */
export type RecoveredState = Readonly<{
	replica: ReplicaId;
	hardState: HardState;
	snapshot?: Snapshot;
	/** Entries that follow the snapshot, or index 0. */
	entries: readonly LogEntry[];
}>;
