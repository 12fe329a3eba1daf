import {
	getMaxLeaseMs,
	listActiveLeases,
	type LeaseSettings,
} from '@lovagevalve/control-role';
import {type Bounds, createEvents} from './configuration-model-lease-events.js';
import {createStep, isServing} from './configuration-model-lease-step.js';
import {
	createInitial,
	createTerms,
	type IsOn,
	readClock,
	readEntryClock,
	type World,
	type WorldEvent,
} from './configuration-model-lease-world.js';
import {explore} from './explore.js';
import {type ModelResult, runInTurn} from './model.js';

/** Long enough for a lease to end on the slowest clock. */
const WITHOUT_RESTART: Bounds = {ticks: 4, restarts: 0};
const WITH_RESTART: Bounds = {ticks: 1, restarts: 1};

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
function describeLeader(world: World, at: number, terms: LeaseSettings) {
	const {machine, table} = world.leaders[at]!;
	if (at < world.leaders.length - 1) {
		return [machine.version];
	}

	const now = readClock(world);
	const outstanding = listActiveLeases(table, now).map(
		({entry, appliedVersion, expiresAt}) => [
			entry.incarnation,
			appliedVersion,
			expiresAt,
		],
	);
	const isLate = now >= table.since + getMaxLeaseMs(terms);
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
