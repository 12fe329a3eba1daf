import {isInForceEverywhere} from '@lovagevalve/control-role';
import {
	createTerms,
	type IsOn,
	MAX_RENEWALS,
	readClock,
	type World,
	type WorldEvent,
} from './configuration-model-lease-world.js';

/** What one exploration allows. */
export type Bounds = Readonly<{ticks: number; restarts: number}>;

function canTell(world: World, isOn: IsOn): boolean {
	const {machine, table} = world.leaders.at(-1)!;
	return (
		machine.version > world.toldInForce &&
		isInForceEverywhere(table, machine.version, {
			settings: createTerms(isOn),
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

/** Creates the function that lists what may happen next. */
export function createEvents(isOn: IsOn, bounds: Bounds) {
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
