import type {ClaimAnswer, ClaimCommand} from '@lovagevalve/claims';
import type {
	JoiningMember,
	RaftEffect,
	RaftMessage,
	RaftState,
} from '@lovagevalve/consensus';
import type {Configuration} from '@lovagevalve/inventory';
import type {QuarantineSummary, ReportedDeath} from '@lovagevalve/quarantine';
import type {Map} from 'immutable';
import type {
	BackendView,
	EntryInfo,
	LeaseTable,
	LeaseSettings,
} from './leases.js';
import type {
	ApplyCommand,
	ApplyOutcome,
	StateMachine,
} from './state-machine-types.js';
import type {OrderAction, OrderTracker, OrderSettings} from './order-types.js';

/** Settings of a control instance; they don't change while it runs. */
export type ControlSettings = Readonly<{
	lease: LeaseSettings;
	orders: OrderSettings;
	/** Age at which an unsettled claim expires; must exceed `dispatchWithinMs`. */
	claimHoldMs: number;
	/** Log entries applied between two snapshots. */
	snapshotEveryEntries: number;
	/** Maximum number of requests that wait for the replication group. */
	maxPendingRequests: number;
	/** Hash of the key that may apply the first configuration. */
	bootstrapKeyHash: string;
}>;

/** Request to a control instance. */
export type ControlInput =
	| Omit<ApplyCommand, 'isBootstrap'>
	| Readonly<{
			kind: 'renew';
			entry: EntryInfo;
			appliedVersion: number;
			/** Quarantine version that the entry has; 0 if it has none. */
			quarantineVersion: number;
			backends: readonly BackendView[];
	  }>
	| Readonly<{kind: 'read-configuration'}>
	| Readonly<{kind: 'progress'}>
	| Readonly<{kind: 'claim'; command: ClaimCommand}>
	| Readonly<{
			kind: 'report-deaths';
			deaths: readonly ReportedDeath[];
			completed: readonly string[];
	  }>
	| Readonly<{kind: 'join'; member: JoiningMember}>
	| Readonly<{
			kind: 'initialise';
			group: string;
			members: readonly JoiningMember[];
	  }>;

/** Answer of an instance that could not process the request. */
export type RequestFailure =
	/** The request must go to the leader; `leader` is its address, if known. */
	| {kind: 'not-leader'; leader?: string}
	/** The quorum did not confirm the request; a change may or may not be applied. */
	| {kind: 'unavailable'};

/** Answer to an entry that renews its lease. */
export type LeaseAnswer = {
	kind: 'granted';
	leaseMs: number;
	version: number;
	/** Present if the entry has applied another version. */
	configuration?: Configuration;
	entries: readonly EntryInfo[];
	/** Present if the entry has another quarantine version. */
	quarantine?: QuarantineSummary;
};

/** Shows which entries have applied the current configuration version. */
export type ProgressReport = {
	kind: 'progress';
	version: number;
	inForceEverywhere: boolean;
	entries: ReadonlyArray<{
		entry: EntryInfo;
		appliedVersion: number;
		leaseRemainingMs: number;
	}>;
};

/** Answer to one request. */
export type ControlAnswer =
	| Readonly<{to: 'apply'; answer: ApplyOutcome | RequestFailure}>
	| Readonly<{to: 'renew'; answer: LeaseAnswer | RequestFailure}>
	| Readonly<{
			to: 'read-configuration';
			answer:
				| {kind: 'read'; version: number; configuration?: Configuration}
				| RequestFailure;
	  }>
	| Readonly<{to: 'progress'; answer: ProgressReport | RequestFailure}>
	| Readonly<{to: 'claim'; answer: ClaimAnswer | RequestFailure}>
	| Readonly<{
			to: 'report-deaths';
			answer: {kind: 'taken'; quarantine: QuarantineSummary} | RequestFailure;
	  }>
	| Readonly<{
			to: 'join';
			answer:
				{kind: 'taken'} | {kind: 'refused'; reason: string} | RequestFailure;
	  }>
	| Readonly<{
			to: 'initialise';
			answer: {kind: 'initialised'} | {kind: 'refused'; reason: string};
	  }>;

/**
 * Input of `stepControl`. `now` is the monotonic clock and `wall` the wall clock,
 * both in milliseconds.
 */
export type ControlEvent = Readonly<{now: number; wall: number}> &
	(
		| Readonly<{kind: 'ticked'}>
		| Readonly<{kind: 'received'; message: RaftMessage}>
		/** Every write up to `sequence` is durable. */
		| Readonly<{kind: 'synced'; sequence: number}>
		/** `request` is a unique id that the host assigns to the request. */
		| Readonly<{kind: 'requested'; request: string; input: ControlInput}>
		| Readonly<{
				kind: 'order-answered';
				order: string;
				outcome: 'accepted' | 'refused' | 'failed';
				detail: string;
		  }>
		/** The instance is about to stop and hands over leadership. */
		| Readonly<{kind: 'transfer-requested'}>
	);

type ReplicationEffect = Extract<
	RaftEffect,
	{kind: 'send' | 'persist' | 'persist-snapshot'}
>;

/** Effect of a step; the host runs the effects in order. */
export type ControlEffect =
	| ReplicationEffect
	| Readonly<{kind: 'respond'; request: string; response: ControlAnswer}>
	| Readonly<{
			kind: 'send-order';
			address: string;
			order: string;
			fencing: number;
			/** Monotonic time by which the connection must be open, or the host drops it. */
			sendBefore: number;
			action: OrderAction;
	  }>
	| Readonly<{kind: 'became-leader'; term: number}>
	| Readonly<{kind: 'stepped-down'; term: number}>;

/** A command that is in the log but not applied yet. */
export type WaitingCommand = Readonly<{
	term: number;
	/** Request to answer; absent if the instance itself proposed the command. */
	request?: string;
	to: 'apply' | 'claim' | 'report-deaths';
}>;

/** A read request that waits for confirmation by the quorum. */
export type WaitingRead = Readonly<{
	request: string;
	input: Extract<
		ControlInput,
		{kind: 'renew' | 'read-configuration' | 'progress'}
	>;
}>;

/** Volatile state of a leader. */
export type LeaderState = Readonly<{
	term: number;
	leases: LeaseTable;
	orders: OrderTracker;
	/** Time at which this leader first saw each open claim. */
	claimsFirstSeenAt: Readonly<Record<string, number>>;
	/** Time of the next request for the order grant, unless this leader holds it. */
	nextGrantRequestAt: number;
	/** Time of the next `runLeaderTasks`. */
	nextTasksAt: number;
}>;

/** State of a control instance. */
export type ControlState = Readonly<{
	settings: ControlSettings;
	raft: RaftState;
	stateMachine: StateMachine;
	/** Command proposed in the current step, until Raft accepts or refuses it. */
	pendingProposal?: Readonly<{
		proposal: string;
		command: Omit<WaitingCommand, 'term'>;
	}>;
	/** Commands in the log that are not applied yet, by log index. */
	waiting: Map<number, WaitingCommand>;
	/** Reads that the quorum has not confirmed yet, by read id. */
	reads: Map<string, WaitingRead>;
	/** Ids of membership requests by replica, and by `INITIALISE_KEY`. */
	joins: Map<string, readonly string[]>;
	leaderState?: LeaderState;
	snapshotIndex: number;
	/** Number of the next proposal. */
	nextProposal: number;
}>;
