import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {
	createControlSettings,
	createEntrySettings,
} from './cluster-settings.js';
import {createMember, type Member, type MemberEndpoint} from './member.js';
import {pickPort} from './ports.js';
import {startRelay} from './relay.js';

/** Configuration of a fake backend server. */
export type BackendSpec = Readonly<{
	kind: 'engine' | 'service';
	id: string;
	service: string;
	dataCentre: string;
	rack?: string;
	/** Additional command-line options of the fake, such as `ms-per-token`. */
	options?: Readonly<Record<string, string | number>>;
}>;

/** Values shared by all members of a cluster. */
export type MemberContext = Readonly<{
	folder: string;
	controlAddresses: readonly string[];
	entryAddresses: readonly string[];
	operatorKey: string;
}>;

/** Endpoint of a named member. */
export type NamedEndpoint = MemberEndpoint & Readonly<{name: string}>;

/** Returns the file to which all fake backend servers append their records. */
export function getRecordFile(folder: string): string {
	return path.join(folder, 'records.jsonl');
}

/** Returns the base URL of an endpoint: that of its relay, if it has one. */
export function toAddress({port, relay}: MemberEndpoint): string {
	return `http://127.0.0.1:${relay?.port ?? port}`;
}

/** Picks a port for each name and starts a relay for those in `relayed`. */
export async function allocateEndpoints(
	names: readonly string[],
	relayed: readonly string[],
): Promise<readonly NamedEndpoint[]> {
	return Promise.all(
		names.map(async (name) => {
			const port = await pickPort();
			const relay = relayed.includes(name) ? await startRelay(port) : undefined;
			return {name, port, relay};
		}),
	);
}

function getOutputFile(folder: string, name: string): string {
	return path.join(folder, `${name}.log`);
}

function createDaemonMember(
	endpoint: NamedEndpoint,
	file: string,
	settings: string,
	{folder}: MemberContext,
): Member {
	const {name} = endpoint;
	const settingsFile = path.join(folder, `${name}.yaml`);
	writeFileSync(settingsFile, settings);
	const args = ['--settings', settingsFile];
	const outputFile = getOutputFile(folder, name);
	return createMember({name, file, args, outputFile}, endpoint);
}

/** Returns the data folder of a control instance. */
export function getDataFolder(folder: string, name: string): string {
	return path.join(folder, `${name}-data`);
}

/** Creates a control instance and its data folder. */
export function createControlMember(
	endpoint: NamedEndpoint,
	ctx: MemberContext,
): Member {
	const dataFolder = getDataFolder(ctx.folder, endpoint.name);
	mkdirSync(dataFolder);
	const settings = createControlSettings({
		name: endpoint.name,
		port: endpoint.port,
		address: toAddress(endpoint),
		controls: ctx.controlAddresses,
		dataFolder,
		operatorKey: ctx.operatorKey,
	});
	return createDaemonMember(
		endpoint,
		'lovage-control/dist/main.js',
		settings,
		ctx,
	);
}

/** Creates an entry in a data centre. */
export function createEntryMember(
	endpoint: NamedEndpoint,
	dataCentre: string,
	ctx: MemberContext,
): Member {
	const settings = createEntrySettings({
		name: endpoint.name,
		port: endpoint.port,
		address: toAddress(endpoint),
		controls: ctx.controlAddresses,
		dataCentre,
	});
	return createDaemonMember(
		endpoint,
		'lovage-entry/dist/main.js',
		settings,
		ctx,
	);
}

function formatOptions(
	options: Readonly<Record<string, string | number | undefined>>,
): readonly string[] {
	return Object.entries(options).flatMap(([name, value]) =>
		value === undefined ? [] : [`--${name}`, String(value)],
	);
}

/** Creates a fake backend server that announces itself to the entries. */
export function createBackendMember(
	endpoint: NamedEndpoint,
	backend: BackendSpec,
	{folder, entryAddresses}: MemberContext,
): Member {
	const {kind, id, service, dataCentre, rack, options} = backend;
	const args = formatOptions({
		id,
		service,
		'data-centre': dataCentre,
		rack,
		port: endpoint.port,
		address: toAddress(endpoint),
		announce: entryAddresses.join(','),
		'log-file': getRecordFile(folder),
		...options,
	});
	const file = `lovage-fakes/dist/${kind}-main.js`;
	const outputFile = getOutputFile(folder, id);
	return createMember({name: id, file, args, outputFile}, endpoint);
}
