import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	createBackendMember,
	createControlMember,
	createEntryMember,
	allocateEndpoints,
	getRecordFile,
	toAddress,
	type BackendSpec,
	type MemberContext,
} from './cluster-members.js';
import {createControlGroup, type ControlGroup} from './control-group.js';
import {
	isServing,
	listBackends,
	listAdvertisedAddresses,
} from './entry-status.js';
import {loadExample, type Example, type ExampleName} from './example.js';
import type {Member} from './member.js';
import {readRecords, type TimedRunRecord} from './run-record.js';
import {waitFor} from './wait.js';

/** An entry advertises at most this many entries to callers. */
const MAX_ADVERTISED_ENTRIES = 5;

/** Programs of a cluster. */
export type ClusterSpec = Readonly<{
	example: ExampleName;
	entries: number;
	controls: number;
	backends: readonly BackendSpec[];
	/** Names of the members that sit behind a relay. */
	relayed?: readonly string[];
}>;

/** A cluster of control instances, entries and fake backend servers as processes. */
export type Cluster = Readonly<{
	folder: string;
	example: Example;
	controls: readonly Member[];
	entries: readonly Member[];
	backends: readonly Member[];
	group: ControlGroup;
	/** Base URLs of the entries. */
	addresses: readonly string[];
	findMember: (name: string) => Member;
	/** Returns the records of the fake backend servers, oldest first. */
	readRecords: () => readonly TimedRunRecord[];
	/** Starts all programs and waits until the entries serve. */
	start: () => Promise<void>;
	/** Waits until each running entry knows the other entries and the backend servers. */
	waitForBackends: () => Promise<void>;
	/** Kills the running programs and removes the files. */
	remove: () => Promise<void>;
}>;

async function checkServing({
	name,
	address,
	getProgram,
}: Member): Promise<boolean> {
	const program = getProgram();
	if (!program.isRunning()) {
		throw new Error(`${name} exited:\n${program.readOutput()}`);
	}

	return isServing(address);
}

/** Waits until an entry advertises the other entries, up to its maximum. */
async function waitForAdvertisedEntries(
	entry: Member,
	entries: readonly Member[],
): Promise<void> {
	const expected = Math.min(entries.length, MAX_ADVERTISED_ENTRIES);
	await waitFor(`${entry.name} to advertise ${expected} entries`, async () => {
		const advertised = await listAdvertisedAddresses(entry.address);
		return (
			entries.filter(({address}) => advertised.includes(address)).length >=
			expected
		);
	});
}

/** Waits until each entry serves; fails when one has exited. */
export async function waitForEntries(
	entries: readonly Member[],
): Promise<void> {
	await Promise.all(
		entries.map(async (entry) =>
			waitFor(`${entry.name} to serve`, async () => checkServing(entry)),
		),
	);
}

async function waitForKnownBackends(
	entry: Member,
	backends: readonly Member[],
	operatorKey: string,
): Promise<void> {
	await waitFor(
		`the backend servers to be known to ${entry.name}`,
		async () => {
			const known = await listBackends(entry.address, operatorKey);
			return backends.every(({name, getProgram}) =>
				known.some(
					({id, incarnation}) =>
						id === name && incarnation >= getProgram().startedAt,
				),
			);
		},
	);
}

function createNames(prefix: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index + 1}`);
}

/** Creates a cluster in a temporary folder without starting its programs. */
export async function createCluster(spec: ClusterSpec): Promise<Cluster> {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovagevalve-'));
	const example = loadExample(spec.example);
	const {configuration} = example;
	const dataCentres = configuration.inventory.dataCentres.map(({id}) => id);
	const relayed = spec.relayed ?? [];

	const allocate = async (names: readonly string[]) =>
		allocateEndpoints(names, relayed);
	const controlEndpoints = await allocate(
		createNames('control', spec.controls),
	);
	const entryEndpoints = await allocate(createNames('entry', spec.entries));
	const backendEndpoints = await allocate(spec.backends.map(({id}) => id));

	const ctx: MemberContext = {
		folder,
		controlAddresses: controlEndpoints.map(toAddress),
		entryAddresses: entryEndpoints.map(toAddress),
		operatorKey: example.operator.key,
	};
	const controls = controlEndpoints.map((one) => createControlMember(one, ctx));
	const entries = entryEndpoints.map((one, index) =>
		createEntryMember(one, dataCentres[index % dataCentres.length]!, ctx),
	);
	const backends = backendEndpoints.map((one, index) =>
		createBackendMember(one, spec.backends[index]!, ctx),
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
		findMember(name) {
			const member = members.find((one) => one.name === name);
			if (member === undefined) {
				throw new Error(`The cluster has no member named ${name}`);
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
			await waitForEntries(entries);
		},
		async waitForBackends() {
			const isRunning = ({getProgram}: Member): boolean =>
				getProgram().isRunning();
			const running = backends.filter(isRunning);
			const runningEntries = entries.filter(isRunning);
			await Promise.all(
				runningEntries.map(async (entry) => {
					await waitForKnownBackends(entry, running, example.operator.key);
					await waitForAdvertisedEntries(entry, runningEntries);
				}),
			);
		},
		async remove() {
			await Promise.all(members.map(async ({kill}) => kill()));
			await Promise.all(members.map(async ({relay}) => relay?.close()));
			await group.close();
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
