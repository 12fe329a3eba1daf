export type {ControlOptions} from './control.js';
export {createControl, stepControl} from './control.js';
export type {
	ControlAnswer,
	ControlEffect,
	ControlEvent,
	ControlInput,
	ControlSettings,
	ControlState,
	LeaseAnswer,
	LeaderState,
	ProgressReport,
	RequestFailure,
} from './control-types.js';
export type {ControlGuard, IsGuarded} from './guards.js';
export {CONTROL_GUARDS, areAllGuardsEnabled} from './guards.js';
export type {
	BackendView,
	EntryInfo,
	EntryLease,
	LeaseTable,
	LeaseSettings,
} from './leases.js';
export {
	getMaxLeaseMs,
	createLeaseTable,
	listActiveLeases,
	removeExpiredLeases,
	isInForceEverywhere,
	recordLease,
} from './leases.js';
export type {
	ApplyCommand,
	ApplyOutcome,
	LoggedCommand,
	CommandResult,
	StateMachineCommand,
	StateMachine,
	AcceptedOperation,
	OrderGrant,
} from './state-machine-types.js';
export {
	applyLoggedCommand,
	createStateMachine,
	decodeStateMachine,
	encodeStateMachine,
} from './state-machine.js';
export {listMembers} from './members.js';
export {
	findUnknownBackends,
	mergeBackends,
	planOrders,
	updateOrders,
} from './order-plan.js';
export {
	getMaxOldOrderLifetimeMs,
	recordConfirmedRead,
	createOrderTracker,
	canSendOrder,
} from './order-rights.js';
export type {
	OrderAction,
	OrderTracker,
	OrderEntry,
	OrderSettings,
} from './order-types.js';
export type {ControlReport} from './status.js';
export {describeControl} from './status.js';
