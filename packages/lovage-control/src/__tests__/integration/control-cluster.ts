import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {configurationSchema, hashKey} from '@lovagevalve/inventory';
import {
	callRpc,
	type ControlClient,
	type ControlStatus,
	createControlClient,
	createRpcPool,
} from '@lovagevalve/wire';
import {stringify} from 'yaml';

export const OPERATOR_KEY = 'operator key';
const PROGRAM_PATH = fileURLToPath(
	new URL('../../../dist/main.js', import.meta.url),
);
const POLL_INTERVAL_MS = 25;
const CALL_TIMEOUT_MS = 2000;
const WAIT_TIMEOUT_MS = 30_000;

export async function waitFor<T>(
	what: string,
	probe: () => Promise<T | undefined | false>,
): Promise<T> {
	const end = performance.now() + WAIT_TIMEOUT_MS;
	while (performance.now() < end) {
		// eslint-disable-next-line no-await-in-loop
		const found = await probe();
		if (found !== undefined && found !== false) {
			return found;
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(POLL_INTERVAL_MS);
	}

	throw new Error(`Timed out waiting for ${what}`);
}

async function findFreePort(): Promise<number> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	server.close();
	await once(server, 'close');
	return typeof address === 'object' && address ? address.port : 0;
}

export function createConfiguration(name: string) {
	const keyHash = hashKey(OPERATOR_KEY);
	return configurationSchema.parse({
		inventory: {
			name,
			dataCentres: [{id: 'dc-1', region: 'r-1'}],
			services: [{id: 'grants', kind: 'plain', workers: []}],
			customers: [{id: 'label', keyHash}],
			operators: [{id: 'ops', keyHash}],
		},
		rules: {},
	});
}

export const createChange = (operationId: string, baseVersion: number) => ({
	baseVersion,
	operationId,
	operator: 'ops',
	key: OPERATOR_KEY,
	configuration: createConfiguration(operationId),
});

/** A group of `lovage-control` processes on loopback. */
export class ControlCluster {
	static async start(size = 3): Promise<ControlCluster> {
		const folder = await mkdtemp(path.join(tmpdir(), 'lovage-control-'));
		const ports = await Promise.all(
			Array.from({length: size}, async () => findFreePort()),
		);
		const cluster = new ControlCluster(folder, ports);
		await cluster.writeSettings();
		ports.forEach((_, i) => {
			cluster.startInstance(i);
		});
		return cluster;
	}

	readonly clients: readonly ControlClient[];
	readonly addresses: readonly string[];
	private readonly pool = createRpcPool();
	private readonly children = new Map<number, ChildProcess>();

	private constructor(
		readonly folder: string,
		private readonly ports: readonly number[],
	) {
		this.addresses = ports.map((port) => `http://127.0.0.1:${port}`);
		this.clients = this.addresses.map((address) =>
			createControlClient(address, this.pool),
		);
	}

	dataFolder(i: number): string {
		return path.join(this.folder, `data-${i}`);
	}

	startInstance(i: number): void {
		const file = this.settingsFile(i);
		const child = spawn(process.execPath, [PROGRAM_PATH, '--settings', file], {
			stdio: 'ignore',
		});
		this.children.set(i, child);
	}

	async stopInstance(
		i: number,
		signal: 'SIGKILL' | 'SIGTERM',
	): Promise<number | undefined> {
		const child = this.children.get(i)!;
		this.children.delete(i);
		const exited = once(child, 'exit');
		child.kill(signal);
		await exited;
		return child.exitCode ?? undefined;
	}

	async status(i: number): Promise<ControlStatus | undefined> {
		const client = this.clients[i]!;
		const answer = await callRpc(
			async (signal) => client.status.query(undefined, {signal}),
			CALL_TIMEOUT_MS,
		);
		return answer.unwrapOr(undefined);
	}

	async members() {
		return Promise.all(
			this.addresses.map(async (address, i) => {
				const found = await waitFor(address, async () => this.status(i));
				return {replica: found.replica, name: found.name, address};
			}),
		);
	}

	async initialise(group: string): Promise<{kind: string}> {
		const members = await this.members();
		return this.clients[0]!.initialise.mutate({group, members});
	}

	async waitForLeader(): Promise<number> {
		return waitFor('a leader', async () => {
			const all = await Promise.all(
				this.addresses.map(async (_, i) => this.status(i)),
			);
			const leaders = all.flatMap((one, i) =>
				one?.role === 'leader' ? [i] : [],
			);
			return leaders.length === 1 ? leaders[0] : undefined;
		});
	}

	/** Repeats a call to the current leader until it returns an outcome. */
	async callLeader<T extends {kind: string}>(
		exchange: (client: ControlClient, signal: AbortSignal) => Promise<T>,
	): Promise<T> {
		return waitFor('an outcome', async () => {
			const client = this.clients[await this.waitForLeader()]!;
			const answer = await callRpc(
				async (signal) => exchange(client, signal),
				CALL_TIMEOUT_MS,
			);
			const found = answer.unwrapOr(undefined);
			const isOutcome =
				found?.kind !== 'not-leader' && found?.kind !== 'unavailable';
			return isOutcome ? found : undefined;
		});
	}

	async apply(operationId: string, baseVersion: number) {
		return this.callLeader(async (client, signal) =>
			client.applyConfiguration.mutate(createChange(operationId, baseVersion), {
				signal,
			}),
		);
	}

	async stop(): Promise<void> {
		await Promise.all(
			[...this.children.keys()].map(async (i) =>
				this.stopInstance(i, 'SIGKILL'),
			),
		);
		await this.pool.close();
		await rm(this.folder, {recursive: true});
	}

	private settingsFile(i: number): string {
		return path.join(this.folder, `control-${i}.yaml`);
	}

	private async writeSettings(): Promise<void> {
		await Promise.all(
			this.ports.map(async (port, i) =>
				writeFile(
					this.settingsFile(i),
					stringify({
						name: `control-${i}`,
						listen: {host: '127.0.0.1', port},
						address: this.addresses[i],
						dataFolder: this.dataFolder(i),
						controls: this.addresses,
						bootstrapOperatorKeyHash: hashKey(OPERATOR_KEY),
					}),
				),
			),
		);
	}
}
