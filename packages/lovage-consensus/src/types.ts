/** Random replica id, created with the data folder on its disk and never reused. */
export type ReplicaId = string;

/** A member of the group, as stored in membership entries of the log. */
export type Member = Readonly<{
	replica: ReplicaId;
	/** Instance name set by the operator; kept when the replica id changes. */
	name: string;
	/** Base URL. */
	address: string;
	/** False for a learner, which receives the log but doesn't count towards a quorum. */
	voter: boolean;
}>;

/** An entry of the replicated log. Indexes start at 1. */
export type LogEntry =
	| Readonly<{kind: 'command'; index: number; term: number; data: string}>
	| Readonly<{
			kind: 'membership';
			index: number;
			term: number;
			members: readonly Member[];
	  }>
	| Readonly<{kind: 'noop'; index: number; term: number}>;

/** Election state that must survive a restart. */
export type HardState = Readonly<{
	/** Group that the replica belongs to; absent while unassigned. */
	group?: string;
	term: number;
	/** Candidate that this replica voted for in `term`. */
	vote?: ReplicaId;
}>;

/** Snapshot of the state machine that replaces the log up to `index`. */
export type Snapshot = Readonly<{
	index: number;
	term: number;
	members: readonly Member[];
	data: string;
}>;

/** A replica that is to be added to the group. */
export type JoiningMember = Readonly<{
	replica: ReplicaId;
	name: string;
	address: string;
}>;

/** State that a replica recovers from its disk at startup. */
export type RecoveredState = Readonly<{
	replica: ReplicaId;
	hardState: HardState;
	snapshot?: Snapshot;
	/** Entries after the snapshot, or from index 1 if there is none. */
	entries: readonly LogEntry[];
}>;
