/** Keys and indexes that lead from the root of a file to a value. */
export type ValuePath = ReadonlyArray<string | number>;

/** An error in the inventory or the rules, with its location. */
export type ConfigurationError = Readonly<{
	file: string;
	/** 1-based line number. */
	line: number;
	/** 1-based column number. */
	column: number;
	/** For example `services[2].workers[0].dataCentre`; empty for the whole file. */
	path: string;
	message: string;
}>;

/** Formats a path in dot and bracket notation. */
export function formatPath(path: ValuePath): string {
	return path
		.map((segment) =>
			typeof segment === 'number' ? `[${segment}]` : `.${segment}`,
		)
		.join('')
		.replace(/^\./, '');
}

/** Formats an error as one line. */
export function formatConfigurationError(err: ConfigurationError): string {
	const location = `${err.file}:${err.line}:${err.column}`;
	return err.path === ''
		? `${location}: ${err.message}`
		: `${location}: ${err.path}: ${err.message}`;
}

/** Compares errors by file, then by position. */
export function compareConfigurationErrors(
	a: ConfigurationError,
	b: ConfigurationError,
): number {
	return (
		a.file.localeCompare(b.file) ||
		a.line - b.line ||
		a.column - b.column ||
		a.path.localeCompare(b.path)
	);
}
