import type {QuarantineState} from '@lovagevalve/quarantine';
import {createStateFile, type StateFile} from './state-file.js';

/** Keeps the quarantine of a control instance over its restarts. */
export type QuarantineFile = StateFile<QuarantineState>;

const FILE_NAME = 'quarantine.json';

function isQuarantineState(value: unknown): value is QuarantineState {
	const {now, deaths, records, convicted} = (value ?? {}) as Partial<
		Record<keyof QuarantineState, unknown>
	>;
	return (
		typeof now === 'number' &&
		Array.isArray(deaths) &&
		typeof records === 'object' &&
		typeof convicted === 'object'
	);
}

/** Creates access to the quarantine's file in a data folder. */
export function createQuarantineFile(folder: string): QuarantineFile {
	return createStateFile(folder, FILE_NAME, isQuarantineState);
}
