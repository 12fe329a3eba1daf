import {randomUUID} from 'node:crypto';
import type {Configuration} from '@lovagevalve/inventory';
import {
	callRpc,
	createControlClient,
	createRpcPool,
	type ApplyResponse,
	type ControlClient,
	type ControlStatus,
	type ProgressResponse,
} from '@lovagevalve/wire';
import {waitFor} from './wait.js';

const RPC_TIMEOUT_MS = 3000;

/** A control instance by its address and key. */
export type Operator = Readonly<{id: string; key: string}>;

/** Calls control instances as an operator's tool does. */
export type ControlGroup = Readonly<{
	/** Makes a group of new instances. */
	initialise: (name: string) => Promise<void>;
	status: (address: string) => Promise<ControlStatus | undefined>;
	/** Waits until a leader is known to a majority, and returns its address. */
	waitForLeader: () => Promise<string>;
	/** Sends one change to each address in turn until it has an outcome. */
	apply: (
		change: Readonly<{
			baseVersion: number;
			configuration: Configuration;
			operationId?: string;
		}>,
	) => Promise<ApplyResponse>;
	/** Waits until every entry has the version in force. */
	waitForVersion: (version: number) => Promise<void>;
	progress: () => Promise<ProgressResponse | undefined>;
	close: () => Promise<void>;
}>;

function isOutcome(answer: {kind: string} | undefined): boolean {
	return (
		answer !== undefined &&
		answer.kind !== 'not-leader' &&
		answer.kind !== 'unavailable'
	);
}

/** Creates a client of the control instances at `addresses`. */
export function createControlGroup(
	addresses: readonly string[],
	operator: Operator,
): ControlGroup {
	const pool = createRpcPool();

	const call = async <T>(
		address: string,
		exchange: (client: ControlClient, signal: AbortSignal) => Promise<T>,
	): Promise<T | undefined> => {
		const client = createControlClient(address, pool);
		const result = await callRpc(
			async (signal) => exchange(client, signal),
			RPC_TIMEOUT_MS,
		);
		return result.unwrapOr(undefined);
	};

	const status = async (address: string) =>
		call(address, async (client, signal) =>
			client.status.query(undefined, {signal}),
		);

	const findOutcome = async <T extends {kind: string}>(
		exchange: (client: ControlClient, signal: AbortSignal) => Promise<T>,
	): Promise<T | undefined> => {
		const answers = await Promise.all(
			addresses.map(async (address) => call(address, exchange)),
		);
		return answers.find((answer) => isOutcome(answer));
	};

	const progress = async () =>
		findOutcome<ProgressResponse>(async (client, signal) =>
			client.progress.query(undefined, {signal}),
		);

	return {
		status,
		progress,
		async initialise(name) {
			const members = await Promise.all(
				addresses.map(async (address) => {
					const member = await waitFor(`status of ${address}`, async () =>
						status(address),
					);
					return {replica: member.replica, name: member.name, address};
				}),
			);
			await waitFor('initialised group', async () => {
				const answer = await call(addresses[0]!, async (client, signal) =>
					client.initialise.mutate({group: name, members}, {signal}),
				);
				return answer?.kind === 'initialised';
			});
		},
		async waitForLeader() {
			return waitFor('a leader', async () => {
				const all = await Promise.all(addresses.map(status));
				const leader = all.find((one) => one?.role === 'leader');
				const followers = all.filter(
					(one) => leader !== undefined && one?.leader === leader.replica,
				);
				const known = followers.length * 2 > addresses.length;
				return known ? addresses[all.indexOf(leader)] : undefined;
			});
		},
		async apply({baseVersion, configuration, operationId = randomUUID()}) {
			const {id, key} = operator;
			const input = {
				baseVersion,
				operationId,
				operator: id,
				key,
				configuration,
			};
			return waitFor('an outcome of the change', async () =>
				findOutcome<ApplyResponse>(async (client, signal) =>
					client.applyConfiguration.mutate(input, {signal}),
				),
			);
		},
		async waitForVersion(version) {
			await waitFor(`version ${version} in force everywhere`, async () => {
				const answer = await progress();
				return (
					answer?.kind === 'progress' &&
					answer.version >= version &&
					answer.inForceEverywhere
				);
			});
		},
		async close() {
			await pool.close();
		},
	};
}
