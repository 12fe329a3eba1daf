import type {
	ClaimAnswer,
	ClaimCommand,
	ClaimsSnapshot,
	ClaimsState,
} from '@lovagevalve/claims';
import type {Configuration} from '@lovagevalve/inventory';
import type {QuarantineState, ReportedDeath} from '@lovagevalve/quarantine';

/** Configuration change by an operator, with the hash of the operator's key. */
export type ApplyCommand = Readonly<{
	kind: 'apply';
	/** Version that the change is based on; 0 for the first configuration. */
	baseVersion: number;
	/** Idempotency key: the same for each retry of one change. */
	operationId: string;
	operator: string;
	keyHash: string;
	/** Whether the key is the bootstrap key in the leader's settings. */
	isBootstrap: boolean;
	configuration: Configuration;
}>;

/** Command of the replicated state machine. */
export type StateMachineCommand =
	| ApplyCommand
	| Readonly<{kind: 'claim'; command: ClaimCommand}>
	| Readonly<{
			kind: 'report-deaths';
			deaths: readonly ReportedDeath[];
			/** Digests of suspect requests that ran to completion. */
			completed: readonly string[];
	  }>
	/** Advances the quarantine's clock: closes windows and expires records. */
	| Readonly<{kind: 'judge-deaths'}>
	/** Gives the order grant to a new leader. */
	| Readonly<{kind: 'take-orders'; holder: string}>;

/** A command as it is stored in the log. */
export type LoggedCommand = Readonly<{
	/** Wall clock of the proposing leader, in milliseconds. */
	at: number;
	command: StateMachineCommand;
}>;

/** Outcome of a configuration change. */
export type ApplyOutcome =
	| {kind: 'accepted'; version: number; repeated: boolean}
	| {
			kind: 'conflict';
			version: number;
			operationId: string;
			configuration: Configuration;
	  }
	/** The base version does not match, and no configuration exists yet. */
	| {kind: 'conflict-without-configuration'}
	| {kind: 'forbidden'};

/** Result of applying one command. */
export type CommandResult =
	| Readonly<{kind: 'applied'; outcome: ApplyOutcome}>
	| Readonly<{kind: 'claim'; answer: ClaimAnswer}>
	| Readonly<{kind: 'orders-taken'; fencing: number}>
	| Readonly<{kind: 'deaths-taken'}>
	| Readonly<{kind: 'none'}>;

/** An accepted change, kept to recognise retries of it. */
export type AcceptedOperation = Readonly<{
	operationId: string;
	/** Digest of the configuration. */
	digest: string;
	version: number;
}>;

/** Exclusive right to send orders to backend servers. */
export type OrderGrant = Readonly<{
	/** Fencing number: the log index of the grant, so it grows with each grant. */
	fencing: number;
	holder?: string;
}>;

/** State of the replicated state machine. */
export type StateMachine = Readonly<{
	appliedIndex: number;
	/** Highest leader wall clock in the log so far; never goes backwards. */
	time: number;
	version: number;
	operationId: string;
	configuration?: Configuration;
	/** The most recent accepted changes, newest last. */
	operations: readonly AcceptedOperation[];
	claims: ClaimsState;
	quarantine: QuarantineState;
	orders: OrderGrant;
}>;

/** The state machine as plain data, for a snapshot. */
export type StateMachineSnapshot = Readonly<
	Omit<StateMachine, 'claims'> & {claims: ClaimsSnapshot}
>;
