import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fetch} from 'undici';
import {
	createBackend,
	createControl,
	createEntry,
	createPlaces,
	getRecordFile,
	toAddress,
	type BackendSpec,
	type MemberContext,
} from './cluster-members.js';
import {createControlGroup, type ControlGroup} from './control-group.js';
import {loadExample, type Example, type ExampleName} from './example.js';
import type {Member} from './member.js';
import {readRecords, type TimedRunRecord} from './run-record.js';
import {waitFor} from './wait.js';

const HEALTH_TIMEOUT_MS = 1000;

/** Which programs a cluster has. */
export type ClusterSpec = Readonly<{
	example: ExampleName;
	entries: number;
	controls: number;
	backends: readonly BackendSpec[];
	/** Names of the members that are reached through a relay. */
	relayed?: readonly string[];
}>;

/** The programs of the system and fakes, each in its own process. */
export type Cluster = Readonly<{
	folder: string;
	example: Example;
	controls: readonly Member[];
	entries: readonly Member[];
	backends: readonly Member[];
	group: ControlGroup;
	/** Base URLs of the entries. */
	addresses: readonly string[];
	find: (name: string) => Member;
	/** What the fake backend servers wrote, in the order of time. */
	readRecords: () => readonly TimedRunRecord[];
	/** Starts every program and waits until the entries serve. */
	start: () => Promise<void>;
	/** Waits until an entry has taken an announcement of each backend server. */
	waitForBackends: () => Promise<void>;
	/** Kills what still runs and removes the files. */
	remove: () => Promise<void>;
}>;

/** Tells whether an entry or a control instance answers that it is well. */
export async function isHealthy(address: string): Promise<boolean> {
	try {
		const res = await fetch(`${address}/health`, {
			signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS),
		});
		await res.arrayBuffer();
		return res.ok;
	} catch {
		return false;
	}
}

/** Waits until each of the members answers that it is well. */
export async function waitForHealth(members: readonly Member[]): Promise<void> {
	await Promise.all(
		members.map(async ({name, address}) =>
			waitFor(`health of ${name}`, async () => isHealthy(address)),
		),
	);
}

function createNames(prefix: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index + 1}`);
}

/** Creates a cluster in a temporary folder; nothing is started yet. */
export async function createCluster(spec: ClusterSpec): Promise<Cluster> {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovagevalve-'));
	const example = loadExample(spec.example);
	const {configuration} = example;
	const dataCentres = configuration.inventory.dataCentres.map(({id}) => id);
	const relayed = spec.relayed ?? [];

	const place = async (names: readonly string[]) =>
		createPlaces(names, relayed);
	const controlPlaces = await place(createNames('control', spec.controls));
	const entryPlaces = await place(createNames('entry', spec.entries));
	const backendPlaces = await place(spec.backends.map(({id}) => id));

	const ctx: MemberContext = {
		folder,
		controlAddresses: controlPlaces.map(toAddress),
		entryAddresses: entryPlaces.map(toAddress),
	};
	const controls = controlPlaces.map((one) => createControl(one, ctx));
	const entries = entryPlaces.map((one, index) =>
		createEntry(one, dataCentres[index % dataCentres.length]!, ctx),
	);
	const backends = backendPlaces.map((one, index) =>
		createBackend(one, spec.backends[index]!, ctx),
	);
	const members = [...controls, ...entries, ...backends];
	const group = createControlGroup(ctx.controlAddresses, example.operator);

	return {
		folder,
		example,
		controls,
		entries,
		backends,
		group,
		addresses: ctx.entryAddresses,
		find(name) {
			const member = members.find((one) => one.name === name);
			if (member === undefined) {
				throw new Error(`no member ${name}`);
			}

			return member;
		},
		readRecords: () => readRecords(getRecordFile(folder)),
		async start() {
			controls.forEach(({start}) => start());
			await group.initialise(spec.example);
			await group.waitForLeader();
			await group.apply({baseVersion: 0, configuration});
			entries.forEach(({start}) => start());
			backends.forEach(({start}) => start());
			await waitForHealth(entries);
		},
		async waitForBackends() {
			const names = backends.map(({name}) => name);
			await waitFor('announcements of the backend servers', () => {
				const records = readRecords(getRecordFile(folder));
				const announced = records.filter(({kind}) => kind === 'announced');
				return names.every((name) =>
					announced.some(({backend}) => backend === name),
				);
			});
		},
		async remove() {
			await Promise.all(members.map(async ({kill}) => kill()));
			await Promise.all(members.map(async ({relay}) => relay?.close()));
			await group.close();
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
