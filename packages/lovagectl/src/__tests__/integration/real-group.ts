import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {hashKey} from '@lovagevalve/inventory';

const PACKAGES = path.resolve(import.meta.dirname, '../../../..');
const POLL_INTERVAL_MS = 50;
const CONTROLS = 3;

/** A control group and entries, each in its own process. */
export type RealGroup = Readonly<{
	controls: readonly string[];
	dir: string;
	/** Starts all processes and waits until each responds. */
	start: () => Promise<void>;
	/** Kills all processes and removes their files. */
	stop: () => Promise<void>;
}>;

async function pickPort(): Promise<number> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

async function pickPorts(count: number): Promise<readonly number[]> {
	const ports = await Promise.all(
		Array.from({length: count}, async () => pickPort()),
	);
	return new Set(ports).size === count ? ports : pickPorts(count);
}

function toAddress(port: number): string {
	return `http://127.0.0.1:${port}`;
}

async function waitUntilUp(port: number): Promise<void> {
	try {
		await fetch(`${toAddress(port)}/health`);
	} catch {
		await delay(POLL_INTERVAL_MS);
		await waitUntilUp(port);
	}
}

type Program = Readonly<{
	name: 'lovage-control' | 'lovage-entry';
	port: number;
	settings: Record<string, unknown>;
}>;

async function startProgram(
	{name, port, settings}: Program,
	dir: string,
): Promise<ChildProcess> {
	const file = path.join(dir, `${port}.yaml`);
	const common = {listen: {port}, address: toAddress(port)};
	await writeFile(file, JSON.stringify({...common, ...settings}));
	const main = path.join(PACKAGES, name, 'dist/main.js');
	return spawn(process.execPath, [main, '--settings', file], {
		stdio: 'ignore',
	});
}

async function kill(child: ChildProcess): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const exited = once(child, 'exit');
	child.kill('SIGKILL');
	await exited;
}

function listPrograms(
	ports: readonly number[],
	dir: string,
	operatorKey: string,
): readonly Program[] {
	const controls = ports.slice(0, CONTROLS).map(toAddress);
	return ports.map((port, i) =>
		i < CONTROLS
			? {
					name: 'lovage-control',
					port,
					settings: {
						name: `control-${i}`,
						controls,
						dataFolder: path.join(dir, `control-${i}`),
						bootstrapOperatorKeyHash: hashKey(operatorKey),
					},
				}
			: {
					name: 'lovage-entry',
					port,
					settings: {
						id: `entry-${i}`,
						dataCentre: 'london-a',
						controls,
						cursorSecret: 'secret-of-this-test',
					},
				},
	);
}

/** Configures three control instances and some entries, without initialising the group. */
export async function createRealGroup(
	entries: number,
	operatorKey: string,
): Promise<RealGroup> {
	const dir = await mkdtemp(path.join(tmpdir(), 'lovagectl-group-'));
	const ports = await pickPorts(CONTROLS + entries);
	const programs = listPrograms(ports, dir, operatorKey);
	const children: ChildProcess[] = [];
	return {
		controls: ports.slice(0, CONTROLS).map(toAddress),
		dir,
		async start() {
			const started = await Promise.all(
				programs.map(async (program) => startProgram(program, dir)),
			);
			children.push(...started);
			await Promise.all(ports.map(waitUntilUp));
		},
		async stop() {
			await Promise.all(children.map(kill));
			await rm(dir, {recursive: true});
		},
	};
}
