import {
	getMaxLeaseMs,
	listActiveLeases,
	type LeaseSettings,
} from '@lovagevalve/control-role';
import {
	type Bounds,
	createEventLister,
} from './configuration-model-lease-events.js';
import {createStep, isServing} from './configuration-model-lease-step.js';
import {
	createInitialWorld,
	createLeaseSettings,
	type IsGuardEnabled,
	getLeaderTime,
	getEntryTime,
	type World,
	type WorldEvent,
} from './configuration-model-lease-world.js';
import {explore} from './explore.js';
import {type ModelResult, runSequentially} from './model.js';

/** Enough ticks for a lease of 2 ticks to expire on the slower clock. */
const BOUNDS_WITHOUT_RESTART: Bounds = {ticks: 4, restarts: 0};
const BOUNDS_WITH_RESTART: Bounds = {ticks: 1, restarts: 1};

function createViolationFinder(isGuardEnabled: IsGuardEnabled) {
	return (world: World): string | undefined => {
		const {version} = world.entry.lease;
		if (!isServing(world, isGuardEnabled)) {
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

/**
 * Leaves out expired leases and the tables of replaced leaders: neither affects
 * later states.
 */
function describeLeader(
	world: World,
	leaderIndex: number,
	settings: LeaseSettings,
) {
	const {machine, table} = world.leaders[leaderIndex]!;
	if (leaderIndex < world.leaders.length - 1) {
		return [machine.version];
	}

	const now = getLeaderTime(world);
	const outstanding = listActiveLeases(table, now).map(
		({entry, appliedVersion, expiresAt}) => [
			entry.incarnation,
			appliedVersion,
			expiresAt,
		],
	);
	const arePredecessorLeasesOver = now >= table.since + getMaxLeaseMs(settings);
	return [
		machine.version,
		arePredecessorLeasesOver ? 0 : table.since,
		outstanding,
	];
}

function createKeyFunction(isGuardEnabled: IsGuardEnabled) {
	const settings = createLeaseSettings(isGuardEnabled);
	return (world: World): string => {
		const {entry, leaders, renewals, ...rest} = world;
		const {version, expiresAt} = entry.lease;
		const isExpired = expiresAt <= getEntryTime(world);
		return JSON.stringify([
			rest,
			version,
			isExpired ? 0 : expiresAt,
			leaders.map((_, leaderIndex) =>
				describeLeader(world, leaderIndex, settings),
			),
			renewals
				.map(({grant, ...renewal}) => JSON.stringify([renewal, grant?.version]))
				.toSorted(),
		]);
	};
}

/**
 * Explores leases of one entry under a change, a change of leader and clock
 * drift.
 */
export function exploreLeases(isGuardEnabled: IsGuardEnabled): ModelResult {
	const explorations = [BOUNDS_WITH_RESTART, BOUNDS_WITHOUT_RESTART].map(
		(bounds) => () =>
			explore<World, WorldEvent>({
				initial: createInitialWorld(),
				events: createEventLister(isGuardEnabled, bounds),
				step: createStep(isGuardEnabled),
				findViolation: createViolationFinder(isGuardEnabled),
				createKey: createKeyFunction(isGuardEnabled),
			}),
	);
	return runSequentially(explorations);
}
