import {isInForceEverywhere} from '@lovagevalve/control-role';
import {
	createLeaseSettings,
	type IsGuardEnabled,
	MAX_RENEWALS,
	getLeaderTime,
	type World,
	type WorldEvent,
} from './configuration-model-lease-world.js';

/** Limits of one exploration. */
export type Bounds = Readonly<{ticks: number; restarts: number}>;

function canAnnounceInForce(
	world: World,
	isGuardEnabled: IsGuardEnabled,
): boolean {
	const {machine, table} = world.leaders.at(-1)!;
	return (
		machine.version > world.toldInForce &&
		isInForceEverywhere(table, machine.version, {
			settings: createLeaseSettings(isGuardEnabled),
			now: getLeaderTime(world),
			isGuarded: isGuardEnabled,
		})
	);
}

function listRenewalEvents(
	world: World,
	isGuardEnabled: IsGuardEnabled,
): WorldEvent[] {
	return world.renewals.flatMap(({grant}, renewal): WorldEvent[] => {
		if (grant !== undefined) {
			return [{type: 'answer arrives', renewal}];
		}

		// The quorum confirms reads of the current leader only.
		const last = world.leaders.length - 1;
		return world.leaders.flatMap((_, leader): WorldEvent[] =>
			leader === last || !isGuardEnabled('quorumReadBeforeLease')
				? [{type: 'leader answers', leader, renewal}]
				: [],
		);
	});
}

/** Creates the function that lists the events enabled in a world. */
export function createEventLister(
	isGuardEnabled: IsGuardEnabled,
	bounds: Bounds,
) {
	return (world: World): WorldEvent[] => {
		const canRenew = world.asked < MAX_RENEWALS;
		const possible: ReadonlyArray<readonly [boolean, WorldEvent]> = [
			[world.ticks < bounds.ticks, {type: 'time passes'}],
			[canRenew, {type: 'entry asks for its lease'}],
			[!world.isChanged, {type: 'change is accepted'}],
			[world.leaders.length === 1, {type: 'leader changes'}],
			[world.incarnation <= bounds.restarts, {type: 'entry restarts'}],
			[
				canAnnounceInForce(world, isGuardEnabled),
				{type: 'leader tells that its version is in force'},
			],
		];
		return [
			...possible
				.filter(([isPossible]) => isPossible)
				.map(([, event]) => event),
			...listRenewalEvents(world, isGuardEnabled),
		];
	};
}
