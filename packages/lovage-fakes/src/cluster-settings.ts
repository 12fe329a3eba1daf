import {stringify} from 'yaml';

/** What the settings of one program say. */
export type ProgramSettings = Readonly<{
	name: string;
	port: number;
	/** Base URL that the others use. */
	address: string;
	controls: readonly string[];
}>;

/** Settings of `lovage-control` in YAML. */
export function createControlSettings({
	name,
	port,
	address,
	controls,
	dataFolder,
}: ProgramSettings & Readonly<{dataFolder: string}>): string {
	return stringify({
		name,
		listen: {host: '127.0.0.1', port},
		address,
		controls,
		dataFolder,
	});
}

/** Settings of `lovage-entry` in YAML. */
export function createEntrySettings({
	name,
	port,
	address,
	controls,
	dataCentre,
}: ProgramSettings & Readonly<{dataCentre: string}>): string {
	return stringify({
		id: name,
		listen: {host: '127.0.0.1', port},
		address,
		controls,
		dataCentre,
	});
}
