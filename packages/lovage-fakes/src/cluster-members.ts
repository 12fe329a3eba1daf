import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {
	createControlSettings,
	createEntrySettings,
} from './cluster-settings.js';
import {createMember, type Member, type MemberPlace} from './member.js';
import {pickPort} from './ports.js';
import {startRelay} from './relay.js';

/** A fake backend server of a cluster. */
export type BackendSpec = Readonly<{
	kind: 'engine' | 'service';
	id: string;
	service: string;
	dataCentre: string;
	rack?: string;
	/** Further options of the fake, such as `ms-per-token`. */
	options?: Readonly<Record<string, string | number>>;
}>;

/** What the members of one cluster have in common. */
export type MemberContext = Readonly<{
	folder: string;
	controlAddresses: readonly string[];
	entryAddresses: readonly string[];
	operatorKey: string;
}>;

/** A name with the place of its program. */
export type NamedPlace = MemberPlace & Readonly<{name: string}>;

/** File in which every fake backend server of a cluster writes its records. */
export function getRecordFile(folder: string): string {
	return path.join(folder, 'records.jsonl');
}

/** Base URL at which a place is reached. */
export function toAddress({port, relay}: MemberPlace): string {
	return `http://127.0.0.1:${relay?.port ?? port}`;
}

/** Picks a port for each name, and starts a relay where one is wanted. */
export async function createPlaces(
	names: readonly string[],
	relayed: readonly string[],
): Promise<readonly NamedPlace[]> {
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

function createDaemon(
	place: NamedPlace,
	file: string,
	settings: string,
	{folder}: MemberContext,
): Member {
	const {name} = place;
	const settingsFile = path.join(folder, `${name}.yaml`);
	writeFileSync(settingsFile, settings);
	const args = ['--settings', settingsFile];
	const outputFile = getOutputFile(folder, name);
	return createMember({name, file, args, outputFile}, place);
}

/** Folder of a control instance's state. */
export function getDataFolder(folder: string, name: string): string {
	return path.join(folder, `${name}-data`);
}

/** Creates a control instance with a data folder. */
export function createControl(place: NamedPlace, ctx: MemberContext): Member {
	const dataFolder = getDataFolder(ctx.folder, place.name);
	mkdirSync(dataFolder);
	const settings = createControlSettings({
		name: place.name,
		port: place.port,
		address: toAddress(place),
		controls: ctx.controlAddresses,
		dataFolder,
		operatorKey: ctx.operatorKey,
	});
	return createDaemon(place, 'lovage-control/dist/main.js', settings, ctx);
}

/** Creates an entry in a data centre. */
export function createEntry(
	place: NamedPlace,
	dataCentre: string,
	ctx: MemberContext,
): Member {
	const settings = createEntrySettings({
		name: place.name,
		port: place.port,
		address: toAddress(place),
		controls: ctx.controlAddresses,
		dataCentre,
	});
	return createDaemon(place, 'lovage-entry/dist/main.js', settings, ctx);
}

function createOptions(
	options: Readonly<Record<string, string | number | undefined>>,
): readonly string[] {
	return Object.entries(options).flatMap(([name, value]) =>
		value === undefined ? [] : [`--${name}`, String(value)],
	);
}

/** Creates a fake backend server that announces itself to the entries. */
export function createBackend(
	place: NamedPlace,
	backend: BackendSpec,
	{folder, entryAddresses}: MemberContext,
): Member {
	const {kind, id, service, dataCentre, rack, options} = backend;
	const args = createOptions({
		id,
		service,
		'data-centre': dataCentre,
		rack,
		port: place.port,
		address: toAddress(place),
		announce: entryAddresses.join(','),
		'log-file': getRecordFile(folder),
		...options,
	});
	const file = `lovage-fakes/dist/${kind}-main.js`;
	const outputFile = getOutputFile(folder, id);
	return createMember({name: id, file, args, outputFile}, place);
}
