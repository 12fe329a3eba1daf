import {
	applyLogged,
	boundLease,
	createLeaseTable,
	createMachine,
	findOutstanding,
	isInForceEverywhere,
	type LeaseTable,
	type LeaseTerms,
	type MachineState,
	recordLease,
} from '@lovagevalve/control-role';
import {
	configurationInForce,
	createEntry,
	DEFAULT_TIMINGS,
	type EntryState,
	type LeaseGrant,
	stepEntry,
} from '@lovagevalve/entry-role';
import {createApply} from './configuration-model-changes.js';
import {explore, type ModelEvent} from './explore.js';
import {type ModelResult, runInTurn} from './model.js';

const TICK_MS = 50;
const LEASE_MS = 2 * TICK_MS;
const MAX_RENEWALS = 2;
/** The entry's clock is slower than the leaders'. */
const DRIFT_SHARE = 0.01;

/** What one exploration allows. */
type Bounds = Readonly<{ticks: number; restarts: number}>;

/** Long enough for a lease to end on the slowest clock. */
const WITHOUT_RESTART: Bounds = {ticks: 4, restarts: 0};
const WITH_RESTART: Bounds = {ticks: 1, restarts: 1};

/** A renewal on its way. */
type Renewal = Readonly<{
	incarnation: number;
	/** On the entry's clock. */
	askedAt: number;
	appliedVersion: number;
	/** Absent until a leader has answered. */
	grant?: LeaseGrant;
}>;

/** A replica that leads or believes that it does. */
type Leader = Readonly<{machine: MachineState; table: LeaseTable}>;

type World = Readonly<{
	ticks: number;
	/** The last one leads; an earlier one doesn't know that it leads no more. */
	leaders: readonly Leader[];
	entry: EntryState;
	incarnation: number;
	renewals: readonly Renewal[];
	asked: number;
	/** Highest version that a leader called in force everywhere. */
	toldInForce: number;
	/** Highest version that the entry served. */
	served: number;
	isChanged: boolean;
}>;

type WorldEvent = ModelEvent &
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

/** Tells whether a rule of the model is on. */
type IsOn = (guard: string) => boolean;

function readClock({ticks}: World): number {
	return ticks * TICK_MS;
}

function readEntryClock({ticks}: World): number {
	return Math.floor(ticks * TICK_MS * (1 - DRIFT_SHARE));
}

function createTerms(isOn: IsOn): LeaseTerms {
	return {leaseMs: LEASE_MS, driftShare: isOn('driftBound') ? DRIFT_SHARE : 0};
}

function createFreshEntry(incarnation: number): EntryState {
	return createEntry({
		id: 'entry',
		address: 'http://entry',
		dataCentre: 'dc',
		incarnation: String(incarnation),
		...DEFAULT_TIMINGS,
	});
}

function applyChange(machine: MachineState, name: string): MachineState {
	const command = createApply(name, machine.version);
	const index = machine.appliedIndex + 1;
	return applyLogged(machine, index, {at: 0, command}).state;
}

function createInitial(): World {
	const machine = applyChange(createMachine(), 'first');
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

function replaceAt<Item>(items: readonly Item[], at: number, item: Item) {
	return items.map((known, i) => (i === at ? item : known));
}

function answerRenewal(
	world: World,
	at: number,
	index: number,
	isOn: IsOn,
): World {
	const renewal = world.renewals[index]!;
	const leader = world.leaders[at]!;
	const {version, configuration} = leader.machine;
	const {id, address, dataCentre} = world.entry.options;
	const table = recordLease(
		leader.table,
		{
			entry: {
				id,
				address,
				dataCentre,
				state: 'serving',
				incarnation: String(renewal.incarnation),
			},
			appliedVersion: renewal.appliedVersion,
			backends: [],
		},
		createTerms(isOn),
		readClock(world),
	);
	const grant = {leaseMs: LEASE_MS, version, configuration, entries: []};
	return {
		...world,
		leaders: replaceAt(world.leaders, at, {...leader, table}),
		renewals: replaceAt(world.renewals, index, {...renewal, grant}),
	};
}

function isServing(world: World, isOn: IsOn): boolean {
	const {lease} = world.entry;
	return isOn('failClosed')
		? configurationInForce(lease, readEntryClock(world)) !== undefined
		: lease.version > 0;
}

function receiveAnswer(world: World, index: number, isOn: IsOn): World {
	const {askedAt, grant} = world.renewals[index]!;
	const rest = world.renewals.filter((_, i) => i !== index);
	const answered = {...world, renewals: rest};
	if (grant === undefined) {
		return answered;
	}

	const now = readEntryClock(world);
	const {lease} = world.entry;
	const before = isOn('ignoreOlderGrant')
		? world.entry
		: {...world.entry, lease: {...lease, version: 0}};
	const {state: entry} = stepEntry(before, {
		kind: 'lease-granted',
		askedAt: isOn('countFromAsking') ? askedAt : now,
		grant,
		now,
	});
	return {...answered, entry};
}

function changeLeader(world: World): World {
	const {machine} = world.leaders.at(-1)!;
	const table = createLeaseTable(readClock(world));
	return {...world, leaders: [...world.leaders, {machine, table}]};
}

function acceptChange(world: World): World {
	const at = world.leaders.length - 1;
	const leader = world.leaders[at]!;
	const machine = applyChange(leader.machine, 'second');
	return {
		...world,
		isChanged: true,
		leaders: replaceAt(world.leaders, at, {...leader, machine}),
	};
}

function askForLease(world: World): World {
	const renewal: Renewal = {
		incarnation: world.incarnation,
		askedAt: readEntryClock(world),
		appliedVersion: world.entry.lease.version,
	};
	return {
		...world,
		asked: world.asked + 1,
		renewals: [...world.renewals, renewal],
	};
}

function restartEntry(world: World): World {
	const incarnation = world.incarnation + 1;
	// Answers to the earlier process reach nobody; its lease stays in the table.
	const entry = createFreshEntry(incarnation);
	return {...world, incarnation, entry, renewals: []};
}

function change(world: World, event: WorldEvent, isOn: IsOn): World {
	switch (event.type) {
		case 'time passes': {
			return {...world, ticks: world.ticks + 1};
		}

		case 'entry asks for its lease': {
			return askForLease(world);
		}

		case 'leader answers': {
			return answerRenewal(world, event.leader, event.renewal, isOn);
		}

		case 'answer arrives': {
			return receiveAnswer(world, event.renewal, isOn);
		}

		case 'change is accepted': {
			return acceptChange(world);
		}

		case 'leader changes': {
			return changeLeader(world);
		}

		case 'entry restarts': {
			return restartEntry(world);
		}

		case 'leader tells that its version is in force': {
			const toldInForce = world.leaders.at(-1)!.machine.version;
			return {...world, toldInForce};
		}
	}
}

function createStep(isOn: IsOn) {
	return (world: World, event: WorldEvent): World => {
		const next = change(world, event, isOn);
		const {version} = next.entry.lease;
		return isServing(next, isOn)
			? {...next, served: Math.max(next.served, version)}
			: next;
	};
}

function canTell(world: World, isOn: IsOn): boolean {
	const {machine, table} = world.leaders.at(-1)!;
	return (
		machine.version > world.toldInForce &&
		isInForceEverywhere(table, machine.version, {
			terms: createTerms(isOn),
			now: readClock(world),
			isGuarded: isOn,
		})
	);
}

function listRenewalEvents(world: World, isOn: IsOn): WorldEvent[] {
	return world.renewals.flatMap(({grant}, renewal): WorldEvent[] => {
		if (grant !== undefined) {
			return [{type: 'answer arrives', renewal}];
		}

		// The quorum confirms the reads of the last leader only.
		const last = world.leaders.length - 1;
		return world.leaders.flatMap((_, leader): WorldEvent[] =>
			leader === last || !isOn('quorumReadBeforeLease')
				? [{type: 'leader answers', leader, renewal}]
				: [],
		);
	});
}

function createEvents(isOn: IsOn, bounds: Bounds) {
	return (world: World): WorldEvent[] => {
		const canAsk = world.asked < MAX_RENEWALS;
		const possible: ReadonlyArray<readonly [boolean, WorldEvent]> = [
			[world.ticks < bounds.ticks, {type: 'time passes'}],
			[canAsk, {type: 'entry asks for its lease'}],
			[!world.isChanged, {type: 'change is accepted'}],
			[world.leaders.length === 1, {type: 'leader changes'}],
			[world.incarnation <= bounds.restarts, {type: 'entry restarts'}],
			[
				canTell(world, isOn),
				{type: 'leader tells that its version is in force'},
			],
		];
		return [
			...possible
				.filter(([isPossible]) => isPossible)
				.map(([, event]) => event),
			...listRenewalEvents(world, isOn),
		];
	};
}

function createFind(isOn: IsOn) {
	return (world: World): string | undefined => {
		const {version} = world.entry.lease;
		if (!isServing(world, isOn)) {
			return undefined;
		}

		if (version < world.toldInForce) {
			return 'no entry works under an older version than the one in force everywhere';
		}

		return version < world.served
			? 'an entry never steps back to an older version'
			: undefined;
	};
}

/** Leases that have ended and tables that nobody reads make no difference. */
function describeLeader(world: World, at: number, terms: LeaseTerms) {
	const {machine, table} = world.leaders[at]!;
	if (at < world.leaders.length - 1) {
		return [machine.version];
	}

	const now = readClock(world);
	const outstanding = findOutstanding(table, now).map(
		({entry, appliedVersion, expiresAt}) => [
			entry.incarnation,
			appliedVersion,
			expiresAt,
		],
	);
	const isLate = now >= table.since + boundLease(terms);
	return [machine.version, isLate ? 0 : table.since, outstanding];
}

function createKeyOf(isOn: IsOn) {
	const terms = createTerms(isOn);
	return (world: World): string => {
		const {entry, leaders, renewals, ...rest} = world;
		const {version, expiresAt} = entry.lease;
		const isOver = expiresAt <= readEntryClock(world);
		return JSON.stringify([
			rest,
			version,
			isOver ? 0 : expiresAt,
			leaders.map((_, at) => describeLeader(world, at, terms)),
			renewals
				.map(({grant, ...renewal}) => JSON.stringify([renewal, grant?.version]))
				.toSorted(),
		]);
	};
}

/** An entry, a change, a leader that is replaced, and clocks that drift. */
export function exploreLeases(isOn: IsOn): ModelResult {
	const explorations = [WITH_RESTART, WITHOUT_RESTART].map(
		(bounds) => () =>
			explore<World, WorldEvent>({
				initial: createInitial(),
				events: createEvents(isOn, bounds),
				step: createStep(isOn),
				findViolation: createFind(isOn),
				createKey: createKeyOf(isOn),
			}),
	);
	return runInTurn(explorations);
}
