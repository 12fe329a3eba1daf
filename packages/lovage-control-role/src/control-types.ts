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

/** Fixed settings of a control instance. */
export type ControlSettings = Readonly<{
	lease: LeaseSettings;
	orders: OrderSettings;
	/** Time after which an unsettled claim lapses; above `dispatchWithinMs`. */
	claimHoldMs: number;
	snapshotEveryEntries: number;
	/** Requests that may wait for the group. */
	maxPendingRequests: number;
	/** Operator's key for the first configuration. */
	bootstrapKeyHash: string;
}>;

/** What others ask of a control instance. */
export type ControlInput =
	| Omit<ApplyCommand, 'isBootstrap'>
	| Readonly<{
			kind: 'renew';
			entry: EntryInfo;
			appliedVersion: number;
			/** Version of the quarantine that the entry knows; 0 for none. */
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

/** Answer of an instance that can't do what was asked. */
export type RequestFailure =
	/** Ask the leader, at its address if known. */
	| {kind: 'not-leader'; leader?: string}
	/** No quorum answered; whether a change took place is not known. */
	| {kind: 'unavailable'};

/** What an entry gets for renewing its lease. */
export type LeaseAnswer = {
	kind: 'granted';
	leaseMs: number;
	version: number;
	/** Present when the entry's version differs. */
	configuration?: Configuration;
	entries: readonly EntryInfo[];
	/** Present when the entry's version of it differs. */
	quarantine?: QuarantineSummary;
};

/** How far the current version is in force. */
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

/** What happens to a control instance; monotonic and wall clock in milliseconds. */
export type ControlEvent = Readonly<{now: number; wall: number}> &
	(
		| Readonly<{kind: 'ticked'}>
		| Readonly<{kind: 'received'; message: RaftMessage}>
		/** Writes up to `sequence` are on disk. */
		| Readonly<{kind: 'synced'; sequence: number}>
		/** `request` names it to the host and is never reused. */
		| Readonly<{kind: 'requested'; request: string; input: ControlInput}>
		| Readonly<{
				kind: 'order-answered';
				order: string;
				outcome: 'accepted' | 'refused' | 'failed';
				detail: string;
		  }>
		/** Planned stop. */
		| Readonly<{kind: 'transfer-requested'}>
	);

type ReplicationEffect = Extract<
	RaftEffect,
	{kind: 'send' | 'persist' | 'persist-snapshot'}
>;

/** What the host does after a step, in order. */
export type ControlEffect =
	| ReplicationEffect
	| Readonly<{kind: 'respond'; request: string; response: ControlAnswer}>
	| Readonly<{
			kind: 'send-order';
			address: string;
			order: string;
			fencing: number;
			/** The host drops it if its connection isn't open by then; monotonic. */
			sendBefore: number;
			action: OrderAction;
	  }>
	| Readonly<{kind: 'became-leader'; term: number}>
	| Readonly<{kind: 'stepped-down'; term: number}>;

/** A request whose command is in the log and not applied yet. */
export type WaitingCommand = Readonly<{
	term: number;
	/** Absent for a command of the instance itself. */
	request?: string;
	to: 'apply' | 'claim' | 'report-deaths';
}>;

/** A request that waits for a read confirmed by the quorum. */
export type WaitingRead = Readonly<{
	request: string;
	input: Extract<
		ControlInput,
		{kind: 'renew' | 'read-configuration' | 'progress'}
	>;
}>;

/** What a leader keeps in memory. */
export type LeaderState = Readonly<{
	term: number;
	leases: LeaseTable;
	orders: OrderTracker;
	/** When each open claim was first seen. */
	claimsFirstSeenAt: Readonly<Record<string, number>>;
	/** When the right to give orders is asked for, unless it is held. */
	nextGrantRequestAt: number;
	/** Next look at claims, leases and orders. */
	nextTasksAt: number;
}>;

/** A control instance. */
export type ControlState = Readonly<{
	settings: ControlSettings;
	raft: RaftState;
	stateMachine: StateMachine;
	/** The command that is being proposed in this step. */
	pendingProposal?: Readonly<{
		proposal: string;
		command: Omit<WaitingCommand, 'term'>;
	}>;
	/** By log index. */
	waiting: Map<number, WaitingCommand>;
	reads: Map<string, WaitingRead>;
	/** Requests for membership, by replica. */
	joins: Map<string, readonly string[]>;
	leaderState?: LeaderState;
	snapshotIndex: number;
	nextProposal: number;
}>;
