import type {
	ClaimAnswer,
	ClaimCommand,
	ClaimsSnapshot,
	ClaimsState,
} from '@lovagevalve/claims';
import type {Configuration} from '@lovagevalve/inventory';
import type {QuarantineState, ReportedDeath} from '@lovagevalve/quarantine';

/** An operator's change with the hash of the key that it came with. */
export type ApplyCommand = Readonly<{
	kind: 'apply';
	/** Version that the change builds on; 0 for the first. */
	baseVersion: number;
	/** Same for each resend of one change. */
	operationId: string;
	operator: string;
	keyHash: string;
	/** The leader's settings name this key for the first version. */
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
			/** Suspects that ran to their end. */
			completed: readonly string[];
	  }>
	/** The window of some deaths has passed. */
	| Readonly<{kind: 'judge-deaths'}>
	/** A new leader asks for the right to give orders. */
	| Readonly<{kind: 'take-orders'; holder: string}>;

/** A command as it stands in the log. */
export type LoggedCommand = Readonly<{
	/** Wall clock of the leader, in milliseconds. */
	at: number;
	command: StateMachineCommand;
}>;

/** Outcome of an operator's change. */
export type ApplyOutcome =
	| {kind: 'accepted'; version: number; repeated: boolean}
	| {
			kind: 'conflict';
			version: number;
			operationId: string;
			configuration: Configuration;
	  }
	/** Builds on a version that doesn't exist. */
	| {kind: 'conflict-without-configuration'}
	| {kind: 'forbidden'};

/** Outcome of one command. */
export type CommandResult =
	| Readonly<{kind: 'applied'; outcome: ApplyOutcome}>
	| Readonly<{kind: 'claim'; answer: ClaimAnswer}>
	| Readonly<{kind: 'orders-taken'; fencing: number}>
	| Readonly<{kind: 'deaths-taken'}>
	| Readonly<{kind: 'none'}>;

/** An accepted change that is remembered for resends. */
export type AcceptedOperation = Readonly<{
	operationId: string;
	/** Digest of the content. */
	digest: string;
	version: number;
}>;

/** Right to give orders to backend servers. */
export type OrderGrant = Readonly<{
	/** Grows with each grant: the index of its log entry. */
	fencing: number;
	holder?: string;
}>;

/** The replicated state. */
export type StateMachine = Readonly<{
	appliedIndex: number;
	/** Log time: the leaders' wall clocks, never backwards. */
	time: number;
	version: number;
	operationId: string;
	configuration?: Configuration;
	/** Newest last, bounded. */
	operations: readonly AcceptedOperation[];
	claims: ClaimsState;
	quarantine: QuarantineState;
	orders: OrderGrant;
}>;

/** The replicated state as plain data. */
export type StateMachineSnapshot = Readonly<
	Omit<StateMachine, 'claims'> & {claims: ClaimsSnapshot}
>;
