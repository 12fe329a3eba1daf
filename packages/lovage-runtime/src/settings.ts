import {readFile} from 'node:fs/promises';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import type {z} from 'zod';

/**
 * Reason why settings are rejected; each line names the file and the position
 * or field.
 */
export type SettingsError = Readonly<{
	kind: 'unreadable' | 'invalid';
	lines: readonly string[];
}>;

function formatPath(path: readonly PropertyKey[]): string {
	return path
		.map((part) =>
			typeof part === 'number' ? `[${part}]` : `.${String(part)}`,
		)
		.join('')
		.replace(/^\./, '');
}

/** Parses a YAML settings file and validates it against a schema. */
export function parseSettings<T>(
	text: string,
	file: string,
	schema: z.ZodType<T>,
): Result<T, SettingsError> {
	const document = parseDocument(text, {lineCounter: new LineCounter()});
	if (document.errors.length > 0) {
		const lines = document.errors.map((error) => `${file}: ${error.message}`);
		return err({kind: 'invalid', lines});
	}

	const parsed = schema.safeParse(document.toJS() ?? {});
	if (!parsed.success) {
		const lines = parsed.error.issues.map(
			(issue) =>
				`${file}: ${formatPath(issue.path) || '(root)'}: ${issue.message}`,
		);
		return err({kind: 'invalid', lines});
	}

	return ok(parsed.data);
}

/** Reads, parses and validates a settings file. */
export function loadSettings<T>(
	file: string,
	schema: z.ZodType<T>,
): ResultAsync<T, SettingsError> {
	return ResultAsync.fromPromise(
		readFile(file, 'utf8'),
		(error): SettingsError => ({
			kind: 'unreadable',
			lines: [
				`${file}: ${error instanceof Error ? error.message : 'unreadable'}`,
			],
		}),
	).andThen((text) => parseSettings(text, file, schema));
}
