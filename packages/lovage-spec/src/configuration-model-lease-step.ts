import {createLeaseTable, recordLease} from '@lovagevalve/control-role';
import {configurationInForce, stepEntry} from '@lovagevalve/entry-role';
import {
	applyChange,
	createFreshEntry,
	createTerms,
	type IsOn,
	LEASE_MS,
	readClock,
	readEntryClock,
	type Renewal,
	replaceAt,
	type World,
	type WorldEvent,
} from './configuration-model-lease-world.js';

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

/** Tells whether the entry takes new work. */
export function isServing(world: World, isOn: IsOn): boolean {
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

/** Creates the step of the model with some rules switched off. */
export function createStep(isOn: IsOn) {
	return (world: World, event: WorldEvent): World => {
		const next = change(world, event, isOn);
		const {version} = next.entry.lease;
		return isServing(next, isOn)
			? {...next, served: Math.max(next.served, version)}
			: next;
	};
}
