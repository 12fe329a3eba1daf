import {
	applyLoggedCommand,
	createLeaseTable,
	createStateMachine,
	type LeaseTable,
	type LeaseSettings,
	type StateMachine,
} from '@lovagevalve/control-role';
import {
	createEntry,
	DEFAULT_TIMINGS,
	type EntryState,
	type LeaseGrant,
} from '@lovagevalve/entry-role';
import {createApply} from './configuration-model-changes.js';
import type {ModelEvent} from './explore.js';

const TICK_MS = 50;
/** Duration of a lease, in milliseconds. */
export const LEASE_MS = 2 * TICK_MS;
/** Maximum number of renewals that the entry requests. */
export const MAX_RENEWALS = 2;
/** Fraction by which the entry's clock is slower than the leaders' clock. */
const DRIFT_SHARE = 0.01;

/** A lease renewal in flight. */
export type Renewal = Readonly<{
	incarnation: number;
	/** Time of the request on the entry's clock. */
	askedAt: number;
	appliedVersion: number;
	/** Absent until a leader has answered. */
	grant?: LeaseGrant;
}>;

/** A replica that is, or still believes to be, the leader. */
type Leader = Readonly<{machine: StateMachine; table: LeaseTable}>;

/** Up to two leaders, one entry and the renewals between them. */
export type World = Readonly<{
	ticks: number;
	/**
	 * The last one is the current leader; earlier ones don't know that they were
	 * replaced.
	 */
	leaders: readonly Leader[];
	entry: EntryState;
	incarnation: number;
	renewals: readonly Renewal[];
	/** Number of renewals requested so far. */
	asked: number;
	/** Highest version that a leader reported as in force everywhere. */
	toldInForce: number;
	/** Highest version under which the entry accepted work. */
	served: number;
	isChanged: boolean;
}>;

/** An event of the model. */
export type WorldEvent = ModelEvent &
	(
		| Readonly<{type: 'time passes'}>
		| Readonly<{type: 'entry asks for its lease'}>
		| Readonly<{type: 'leader answers'; leader: number; renewal: number}>
		| Readonly<{type: 'answer arrives'; renewal: number}>
		| Readonly<{type: 'change is accepted'}>
		| Readonly<{type: 'leader changes'}>
		| Readonly<{type: 'entry restarts'}>
		| Readonly<{type: 'leader tells that its version is in force'}>
	);

/** Whether a guard of the model is enabled. */
export type IsGuardEnabled = (guard: string) => boolean;

/** Time on the leaders' clock, in milliseconds. */
export function getLeaderTime({ticks}: World): number {
	return ticks * TICK_MS;
}

/** Time on the entry's clock, in milliseconds. */
export function getEntryTime({ticks}: World): number {
	return Math.floor(ticks * TICK_MS * (1 - DRIFT_SHARE));
}

/** Creates the lease settings of the leaders. */
export function createLeaseSettings(
	isGuardEnabled: IsGuardEnabled,
): LeaseSettings {
	return {
		leaseMs: LEASE_MS,
		driftShare: isGuardEnabled('driftBound') ? DRIFT_SHARE : 0,
	};
}

/** Creates an entry that has just started. */
export function createFreshEntry(incarnation: number): EntryState {
	return createEntry({
		id: 'entry',
		address: 'http://entry',
		dataCentre: 'dc',
		incarnation: String(incarnation),
		...DEFAULT_TIMINGS,
	});
}

/** Applies an accepted change to the state machine. */
export function applyChange(machine: StateMachine, name: string): StateMachine {
	const command = createApply(name, machine.version);
	const index = machine.appliedIndex + 1;
	return applyLoggedCommand(machine, index, {at: 0, command}).state;
}

/** Creates the world before the first renewal. */
export function createInitialWorld(): World {
	const machine = applyChange(createStateMachine(), 'first');
	return {
		ticks: 0,
		leaders: [{machine, table: createLeaseTable(-10 * LEASE_MS)}],
		entry: createFreshEntry(1),
		incarnation: 1,
		renewals: [],
		asked: 0,
		toldInForce: 0,
		served: 0,
		isChanged: false,
	};
}

/** Returns a copy of a list with one item replaced. */
export function replaceAt<Item>(
	items: readonly Item[],
	at: number,
	item: Item,
) {
	return items.map((known, i) => (i === at ? item : known));
}
