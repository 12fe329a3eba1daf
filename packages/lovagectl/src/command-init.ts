import {readInstances, type InstanceStatus} from './command-status.js';
import type {ControlSession} from './control-session.js';
import {createOutput, fail, type CommandResult} from './outcome.js';

/** The control group appends a suffix to the name given at its creation. */
function matchesGroupName(actual: string, group: string): boolean {
	return actual === group || actual.startsWith(`${group}.`);
}

/** Explains why an instance cannot join the group; undefined if it can. */
function describeBlocker(
	instance: InstanceStatus,
	group: string,
): string | undefined {
	if (!instance.reachable) {
		return `${instance.address}: ${instance.reason}`;
	}

	const {group: currentGroup} = instance.status;
	return currentGroup === undefined || matchesGroupName(currentGroup, group)
		? undefined
		: `${instance.address} belongs to group "${currentGroup}"`;
}

/**
 * Creates a control group from the given control instances. Idempotent: a
 * group that exists already is left as it is.
 */
export async function init(
	group: string,
	session: ControlSession,
): Promise<CommandResult> {
	const instances = await readInstances(session);
	const blockers = instances.flatMap(
		(instance) => describeBlocker(instance, group) ?? [],
	);
	if (blockers.length > 0) {
		const isReachable = instances.every(({reachable}) => reachable);
		return fail(isReachable ? 'conflict' : 'unavailable', blockers);
	}

	const reachableInstances = instances.flatMap((instance) =>
		instance.reachable ? [instance] : [],
	);
	const unassigned = reachableInstances.find(
		({status}) => status.group === undefined,
	);
	if (unassigned === undefined) {
		return createOutput([`group ${group} already exists`], {
			group,
			created: false,
		});
	}

	const members = reachableInstances.map(({address, status}) => ({
		replica: status.replica,
		name: status.name,
		address,
	}));
	const answer = await session.callInstance(
		unassigned.address,
		async (client, signal) =>
			client.initialise.mutate({group, members}, {signal}),
	);
	return answer.match(
		(outcome) =>
			outcome.kind === 'initialised'
				? createOutput(
						[`group ${group} created with ${members.length} control instances`],
						{group, created: true, members},
					)
				: fail('failed', outcome.reason),
		(error) =>
			fail('unavailable', [
				error.message,
				'unknown whether the group was created; the command can be retried safely',
			]),
	);
}
