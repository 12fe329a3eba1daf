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

/** A replica that asks to join, or that a membership change names. */
export type JoiningMember = Readonly<{
	replica: ReplicaId;
	name: string;
	address: string;
}>;

/** What a replica finds on its disk at its start. */
export type RecoveredState = Readonly<{
	replica: ReplicaId;
	hardState: HardState;
	snapshot?: Snapshot;
	/** Entries that follow the snapshot, or index 0. */
	entries: readonly LogEntry[];
}>;
