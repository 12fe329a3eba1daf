import type {RaftMessage} from './messages.js';
import type {
	HardState,
	JoiningMember,
	LogEntry,
	ReplicaId,
	Snapshot,
} from './types.js';

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
