import type {ControlStatus} from '@lovagevalve/wire';
import type {Result} from 'neverthrow';
import {readProgress} from './command-follow.js';
import type {ControlSession} from './control-session.js';
import {formatEntry, type Progress} from './version-progress.js';
import {
	createOutput,
	fail,
	type CommandError,
	type CommandResult,
} from './outcome.js';

/** Status reported by a control instance, or why it could not be read. */
export type InstanceStatus =
	| Readonly<{address: string; reachable: true; status: ControlStatus}>
	| Readonly<{address: string; reachable: false; reason: string}>;

/** Reads the status of each control instance. */
export async function readInstances(
	session: ControlSession,
): Promise<readonly InstanceStatus[]> {
	return Promise.all(
		session.addresses.map(async (address): Promise<InstanceStatus> => {
			const answer = await session.callInstance<ControlStatus>(
				address,
				async (client, signal) => client.status.query(undefined, {signal}),
			);
			return answer.match<InstanceStatus>(
				(status) => ({address, reachable: true, status}),
				(error) => ({address, reachable: false, reason: error.message}),
			);
		}),
	);
}

function formatInstance(instance: InstanceStatus): string {
	if (!instance.reachable) {
		return `${instance.address}: unreachable (${instance.reason})`;
	}

	const {name, role, term, commitIndex, lastIndex, configurationVersion} =
		instance.status;
	return `${name} ${instance.address}: ${role}, term ${term}, committed ${commitIndex} of ${lastIndex}, configuration ${configurationVersion}`;
}

function findLeader(
	instances: readonly InstanceStatus[],
): ControlStatus | undefined {
	return instances
		.flatMap((instance) => (instance.reachable ? [instance.status] : []))
		.filter(({role}) => role === 'leader')
		.toSorted((a, b) => b.term - a.term)[0];
}

function formatProgress(
	progress: Result<Progress, CommandError>,
): readonly string[] {
	return progress.match(
		({version, inForceEverywhere, entries}) => [
			`configuration ${version}, ${inForceEverywhere ? 'in force everywhere' : 'not yet in force everywhere'}`,
			`entries: ${entries.length}`,
			...entries.map((entry) => `  ${formatEntry(entry, version)}`),
		],
		({messages}) => [
			`configuration progress unavailable: ${messages.join('; ')}`,
		],
	);
}

function formatLeaderState(
	leader: ControlStatus | undefined,
): readonly string[] {
	if (leader === undefined) {
		return [];
	}

	return [
		...leader.unknownBackends.map(
			(id) => `backend server ${id} is not in the inventory and gets no work`,
		),
		...leader.orders.map(
			({order, backend, state, detail}) =>
				`order ${order} to ${backend}: ${state}${detail === '' ? '' : ` (${detail})`}`,
		),
	];
}

/** Shows the control instances, the entries, unknown backend servers and orders. */
export async function status(
	session: ControlSession,
	timeoutMs: number,
): Promise<CommandResult> {
	const instances = await readInstances(session);
	const progress = await readProgress(session, timeoutMs);
	const lines = [
		'control instances:',
		...instances.map((instance) => `  ${formatInstance(instance)}`),
		...formatProgress(progress),
		...formatLeaderState(findLeader(instances)),
	];
	const json = {
		instances,
		progress: progress.isOk() ? progress.value : undefined,
	};
	return progress.isOk()
		? createOutput(lines, json)
		: fail(progress.error.kind, lines, json);
}
