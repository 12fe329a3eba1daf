/** Steps from the root of a file to a value in it. */
export type ValuePath = ReadonlyArray<string | number>;

/** A mistake in the inventory or in the rules, and its place. */
export type ConfigurationError = Readonly<{
	file: string;
	/** Counted from 1. */
	line: number;
	/** Counted from 1. */
	column: number;
	/** Such as `services[2].workers[0].dataCentre`; empty for a whole file. */
	path: string;
	message: string;
}>;

/** Writes a path as an operator reads it. */
export function formatPath(path: ValuePath): string {
	return path
		.map((segment) =>
			typeof segment === 'number' ? `[${segment}]` : `.${segment}`,
		)
		.join('')
		.replace(/^\./, '');
}

/** Writes an error in one line. */
export function formatConfigurationError(err: ConfigurationError): string {
	const location = `${err.file}:${err.line}:${err.column}`;
	return err.path === ''
		? `${location}: ${err.message}`
		: `${location}: ${err.path}: ${err.message}`;
}

/** Orders errors by file and by place in it. */
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
