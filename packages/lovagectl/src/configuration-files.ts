import {
	formatConfigurationError,
	loadConfiguration,
	type Configuration,
} from '@lovagevalve/inventory';
import type {Result} from 'neverthrow';
import {createError, type CommandError} from './outcome.js';

/** Paths of the inventory and the rules file. */
export type ConfigurationFiles = Readonly<{inventory: string; rules: string}>;

/** Reads and validates the inventory and the rules. */
export async function readConfigurationFiles(
	files: ConfigurationFiles,
): Promise<Result<Configuration, CommandError>> {
	const loaded = await loadConfiguration(files.inventory, files.rules);
	return loaded.mapErr((errors) =>
		createError(
			'invalid-configuration',
			errors.map(formatConfigurationError),
			errors,
		),
	);
}
