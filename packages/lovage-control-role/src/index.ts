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
	Leadership,
	ProgressReport,
	Redirect,
} from './control-types.js';
export type {ControlGuard, IsGuarded} from './guards.js';
export {CONTROL_GUARDS, isAlwaysGuarded} from './guards.js';
export type {
	BackendView,
	EntryInfo,
	EntryLease,
	LeaseTable,
	LeaseTerms,
} from './leases.js';
export {
	boundLease,
	createLeaseTable,
	findOutstanding,
	forgetLeases,
	isInForceEverywhere,
	recordLease,
} from './leases.js';
export type {
	ApplyCommand,
	ApplyOutcome,
	LoggedCommand,
	MachineAnswer,
	MachineCommand,
	MachineState,
	Operation,
	OrderGrant,
} from './machine-types.js';
export {
	applyLogged,
	createMachine,
	decodeMachine,
	encodeMachine,
} from './machine.js';
export {listMembers} from './members.js';
export {
	findUnknownBackends,
	mergeBackends,
	planOrders,
	reviewOrders,
} from './order-plan.js';
export {
	boundOldHolder,
	confirmHolder,
	createOrderBook,
	mayOrder,
} from './order-rights.js';
export type {
	OrderAction,
	OrderBook,
	OrderEntry,
	OrderTerms,
} from './order-types.js';
export type {ControlReport} from './status.js';
export {describeControl} from './status.js';
