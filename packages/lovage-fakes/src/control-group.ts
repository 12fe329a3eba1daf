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

/** Credentials of an operator. */
export type Operator = Readonly<{id: string; key: string}>;

/** Client of the control instances with the rights of an operator. */
export type ControlGroup = Readonly<{
	/** Bootstraps a group from new instances. */
	initialise: (name: string) => Promise<void>;
	status: (address: string) => Promise<ControlStatus | undefined>;
	/** Waits until a majority follows one leader and returns its address. */
	waitForLeader: () => Promise<string>;
	/** Sends a configuration change to all instances until one returns an outcome. */
	apply: (
		change: Readonly<{
			baseVersion: number;
			configuration: Configuration;
			operationId?: string;
		}>,
	) => Promise<ApplyResponse>;
	/** Waits until at least this version is in force at every entry. */
	waitForVersion: (version: number) => Promise<void>;
	progress: () => Promise<ProgressResponse | undefined>;
	close: () => Promise<void>;
}>;

function isFinalAnswer(answer: {kind: string} | undefined): boolean {
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
		send: (client: ControlClient, signal: AbortSignal) => Promise<T>,
	): Promise<T | undefined> => {
		const client = createControlClient(address, pool);
		const result = await callRpc(
			async (signal) => send(client, signal),
			RPC_TIMEOUT_MS,
		);
		return result.unwrapOr(undefined);
	};

	const status = async (address: string) =>
		call(address, async (client, signal) =>
			client.status.query(undefined, {signal}),
		);

	const findFinalAnswer = async <T extends {kind: string}>(
		exchange: (client: ControlClient, signal: AbortSignal) => Promise<T>,
	): Promise<T | undefined> => {
		const answers = await Promise.all(
			addresses.map(async (address) => call(address, exchange)),
		);
		return answers.find((answer) => isFinalAnswer(answer));
	};

	const progress = async () =>
		findFinalAnswer<ProgressResponse>(async (client, signal) =>
			client.progress.query(undefined, {signal}),
		);

	return {
		status,
		progress,
		async initialise(name) {
			const members = await Promise.all(
				addresses.map(async (address) => {
					const member = await waitFor(`the status of ${address}`, async () =>
						status(address),
					);
					return {replica: member.replica, name: member.name, address};
				}),
			);
			await waitFor('the group to be initialised', async () => {
				const answer = await call(addresses[0]!, async (client, signal) =>
					client.initialise.mutate({group: name, members}, {signal}),
				);
				return answer?.kind === 'initialised';
			});
		},
		async waitForLeader() {
			return waitFor('a leader', async () => {
				const statuses = await Promise.all(addresses.map(status));
				const leader = statuses.find((one) => one?.role === 'leader');
				const followers = statuses.filter(
					(one) => leader !== undefined && one?.leader === leader.replica,
				);
				const isKnownToMajority = followers.length * 2 > addresses.length;
				return isKnownToMajority
					? addresses[statuses.indexOf(leader)]
					: undefined;
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
				findFinalAnswer<ApplyResponse>(async (client, signal) =>
					client.applyConfiguration.mutate(input, {signal}),
				),
			);
		},
		async waitForVersion(version) {
			await waitFor(
				`version ${version} to be in force at every entry`,
				async () => {
					const answer = await progress();
					return (
						answer?.kind === 'progress' &&
						answer.version >= version &&
						answer.inForceEverywhere
					);
				},
			);
		},
		async close() {
			await pool.close();
		},
	};
}
