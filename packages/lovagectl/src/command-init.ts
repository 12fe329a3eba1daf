import {readInstances, type InstanceStatus} from './command-status.js';
import type {ControlSession} from './control-session.js';
import {createOutput, fail, type CommandResult} from './outcome.js';

/** The control group adds to the name that its founder gave. */
function isNamed(found: string, group: string): boolean {
	return found === group || found.startsWith(`${group}.`);
}

function describeObstacle(
	instance: InstanceStatus,
	group: string,
): string | undefined {
	if (!instance.reachable) {
		return `${instance.address}: ${instance.reason}`;
	}

	const {group: found} = instance.status;
	return found === undefined || isNamed(found, group)
		? undefined
		: `${instance.address} belongs to group "${found}"`;
}

/**
 * Makes one group of the control instances given. Repeating it changes
 * nothing.
 */
export async function init(
	group: string,
	session: ControlSession,
): Promise<CommandResult> {
	const instances = await readInstances(session);
	const obstacles = instances.flatMap(
		(instance) => describeObstacle(instance, group) ?? [],
	);
	if (obstacles.length > 0) {
		const isReachable = instances.every(({reachable}) => reachable);
		return fail(isReachable ? 'conflict' : 'unavailable', obstacles);
	}

	const found = instances.flatMap((instance) =>
		instance.reachable ? [instance] : [],
	);
	const newcomer = found.find(({status}) => status.group === undefined);
	if (newcomer === undefined) {
		return createOutput([`group ${group} exists already`], {
			group,
			created: false,
		});
	}

	const members = found.map(({address, status}) => ({
		replica: status.replica,
		name: status.name,
		address,
	}));
	const answer = await session.askOne(
		newcomer.address,
		async (client, signal) =>
			client.initialise.mutate({group, members}, {signal}),
	);
	return answer.match(
		(outcome) =>
			outcome.kind === 'initialised'
				? createOutput(
						[`group ${group} has ${members.length} control instances`],
						{group, created: true, members},
					)
				: fail('failed', outcome.reason),
		(error) =>
			fail('unavailable', [
				error.message,
				'whether the group was made is not known; the command may be repeated',
			]),
	);
}
