import {readFile, stat} from 'node:fs/promises';
import {err, ResultAsync, type Result} from 'neverthrow';
import type {ConfigurationError} from './configuration-error.js';
import type {Configuration} from './configuration.js';
import {parseConfiguration} from './parse-configuration.js';
import {MAX_FILE_BYTES} from './yaml-source.js';

function createFileError(file: string, message: string): ConfigurationError {
	return {file, line: 1, column: 1, path: '', message};
}

async function readWithSizeLimit(path: string): Promise<string> {
	const {size} = await stat(path);
	if (size > MAX_FILE_BYTES) {
		throw new Error(`is larger than ${MAX_FILE_BYTES} bytes`);
	}

	return readFile(path, 'utf8');
}

function readText(path: string): ResultAsync<string, ConfigurationError> {
	return ResultAsync.fromPromise(readWithSizeLimit(path), (cause) =>
		createFileError(
			path,
			cause instanceof Error ? cause.message : String(cause),
		),
	);
}

/** Reads and validates an inventory and its rules. */
export async function loadConfiguration(
	inventoryPath: string,
	rulesPath: string,
): Promise<Result<Configuration, readonly ConfigurationError[]>> {
	const [inventory, rules] = await Promise.all([
		readText(inventoryPath),
		readText(rulesPath),
	]);
	if (inventory.isOk() && rules.isOk()) {
		return parseConfiguration({
			inventoryText: inventory.value,
			rulesText: rules.value,
			names: {inventory: inventoryPath, rules: rulesPath},
		});
	}

	return err(
		[inventory, rules].flatMap((text) => (text.isErr() ? [text.error] : [])),
	);
}
