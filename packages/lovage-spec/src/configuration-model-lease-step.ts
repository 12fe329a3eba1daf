import {createLeaseTable, recordLease} from '@lovagevalve/control-role';
import {configurationInForce, stepEntry} from '@lovagevalve/entry-role';
import {
	applyChange,
	createFreshEntry,
	createLeaseSettings,
	type IsGuardEnabled,
	LEASE_MS,
	getLeaderTime,
	getEntryTime,
	type Renewal,
	replaceAt,
	type World,
	type WorldEvent,
} from './configuration-model-lease-world.js';

function answerRenewal(
	world: World,
	leaderIndex: number,
	index: number,
	isGuardEnabled: IsGuardEnabled,
): World {
	const renewal = world.renewals[index]!;
	const leader = world.leaders[leaderIndex]!;
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
		createLeaseSettings(isGuardEnabled),
		getLeaderTime(world),
	);
	const grant = {leaseMs: LEASE_MS, version, configuration, entries: []};
	return {
		...world,
		leaders: replaceAt(world.leaders, leaderIndex, {...leader, table}),
		renewals: replaceAt(world.renewals, index, {...renewal, grant}),
	};
}

/** Whether the entry accepts new work. */
export function isServing(
	world: World,
	isGuardEnabled: IsGuardEnabled,
): boolean {
	const {lease} = world.entry;
	return isGuardEnabled('failClosed')
		? configurationInForce(lease, getEntryTime(world)) !== undefined
		: lease.version > 0;
}

function receiveAnswer(
	world: World,
	index: number,
	isGuardEnabled: IsGuardEnabled,
): World {
	const {askedAt, grant} = world.renewals[index]!;
	const renewals = world.renewals.filter((_, i) => i !== index);
	const answered = {...world, renewals};
	if (grant === undefined) {
		return answered;
	}

	const now = getEntryTime(world);
	const {lease} = world.entry;
	const currentEntry = isGuardEnabled('ignoreOlderGrant')
		? world.entry
		: {...world.entry, lease: {...lease, version: 0}};
	const {state: entry} = stepEntry(currentEntry, {
		kind: 'lease-granted',
		askedAt: isGuardEnabled('countFromAsking') ? askedAt : now,
		grant,
		now,
	});
	return {...answered, entry};
}

function changeLeader(world: World): World {
	const {machine} = world.leaders.at(-1)!;
	const table = createLeaseTable(getLeaderTime(world));
	return {...world, leaders: [...world.leaders, {machine, table}]};
}

function acceptChange(world: World): World {
	const leaderIndex = world.leaders.length - 1;
	const leader = world.leaders[leaderIndex]!;
	const machine = applyChange(leader.machine, 'second');
	return {
		...world,
		isChanged: true,
		leaders: replaceAt(world.leaders, leaderIndex, {...leader, machine}),
	};
}

function requestLease(world: World): World {
	const renewal: Renewal = {
		incarnation: world.incarnation,
		askedAt: getEntryTime(world),
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
	// Answers to the earlier process are lost; its lease stays in the table.
	const entry = createFreshEntry(incarnation);
	return {...world, incarnation, entry, renewals: []};
}

function applyEvent(
	world: World,
	event: WorldEvent,
	isGuardEnabled: IsGuardEnabled,
): World {
	switch (event.type) {
		case 'time passes': {
			return {...world, ticks: world.ticks + 1};
		}

		case 'entry asks for its lease': {
			return requestLease(world);
		}

		case 'leader answers': {
			return answerRenewal(world, event.leader, event.renewal, isGuardEnabled);
		}

		case 'answer arrives': {
			return receiveAnswer(world, event.renewal, isGuardEnabled);
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

/** Creates the step function of the model for the enabled guards. */
export function createStep(isGuardEnabled: IsGuardEnabled) {
	return (world: World, event: WorldEvent): World => {
		const next = applyEvent(world, event, isGuardEnabled);
		const {version} = next.entry.lease;
		return isServing(next, isGuardEnabled)
			? {...next, served: Math.max(next.served, version)}
			: next;
	};
}
