import type {RaftMessage} from './messages.js';
import type {
	HardState,
	JoiningMember,
	LogEntry,
	ReplicaId,
	Snapshot,
} from './types.js';

/** Input events of a replica. `now` is a monotonic time in milliseconds. */
export type RaftEvent = Readonly<{now: number}> &
	(
		| Readonly<{kind: 'ticked'}>
		| Readonly<{kind: 'received'; message: RaftMessage}>
		/** Commands that are persisted in one write; the host chooses the id `proposal`. */
		| Readonly<{
				kind: 'proposed';
				proposal: string;
				commands: readonly string[];
		  }>
		| Readonly<{kind: 'read-requested'; read: string}>
		/** All `persist` and `persist-snapshot` effects up to `sequence` are durable. */
		| Readonly<{kind: 'synced'; sequence: number}>
		/** Initial membership of a new group; must be identical on every initial member. */
		| Readonly<{
				kind: 'initialised';
				group: string;
				members: readonly JoiningMember[];
		  }>
		/** A replica that is not a member asks to be added. */
		| Readonly<{kind: 'join-requested'; member: JoiningMember}>
		| Readonly<{kind: 'removal-requested'; replica: ReplicaId}>
		/** The host took a snapshot of its state machine at the applied index `index`. */
		| Readonly<{kind: 'snapshot-taken'; index: number; data: string}>
		/** Transfers leadership to another voter before a planned stop. */
		| Readonly<{kind: 'transfer-requested'}>
	);

/** Why the group refused a request. */
export type RefusalReason =
	/** This replica is not the leader; retry at the leader, if it is known. */
	| 'not-leader'
	/** A limit on pending work or on the number of members is reached. */
	| 'overloaded'
	/** A leadership transfer or a membership change is in progress. */
	| 'busy'
	/** The leader heard from a voter with this name within the election timeout. */
	| 'name-in-use'
	/** The request is not valid in the current state. */
	| 'invalid';

/** Effects that the host must execute after a step, in the given order. */
export type RaftEffect =
	| Readonly<{kind: 'send'; message: RaftMessage}>
	/** Write and sync in sequence order, then feed `synced`. */
	| Readonly<{
			kind: 'persist';
			sequence: number;
			hardState?: HardState;
			/** Entries after this index are removed before `entries` are appended. */
			truncateAfter?: number;
			entries: readonly LogEntry[];
	  }>
	/** Store a snapshot, then feed `synced`; `replacesLog` removes all stored entries. */
	| Readonly<{
			kind: 'persist-snapshot';
			sequence: number;
			snapshot: Snapshot;
			replacesLog: boolean;
	  }>
	/** Apply committed entries. Each entry is emitted once per process, in log order. */
	| Readonly<{kind: 'apply'; entries: readonly LogEntry[]}>
	/** Replace the state machine's state by this snapshot. */
	| Readonly<{kind: 'install-snapshot'; snapshot: Snapshot}>
	/**
	 * The commands were appended at consecutive indexes from `firstIndex`. They
	 * are not committed yet and may still be lost.
	 */
	| Readonly<{
			kind: 'proposal-accepted';
			proposal: string;
			firstIndex: number;
			term: number;
	  }>
	/** No command of the proposal was appended to any log. */
	| Readonly<{
			kind: 'proposal-refused';
			proposal: string;
			reason: RefusalReason;
			leader?: ReplicaId;
	  }>
	/** The applied state includes everything that was committed when the read began. */
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
			/** `taken`: in progress or already done; the request is idempotent. */
			outcome: 'taken' | RefusalReason;
			leader?: ReplicaId;
	  }>
	| Readonly<{kind: 'became-leader'; term: number}>
	/** The outcome of accepted proposals that are not applied yet is unknown. */
	| Readonly<{kind: 'stepped-down'; term: number; leader?: ReplicaId}>;
