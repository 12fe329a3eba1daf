import type {Finding} from './explain-issue.js';
import type {ValuePath} from './configuration-error.js';

/** A value that must be unique, with its path. */
export type UniqueValue = Readonly<{
	/** Not checked if undefined. */
	value: string | undefined;
	path: ValuePath;
}>;

/** Reports each value that occurred earlier in the list. */
export function findDuplicates(
	values: readonly UniqueValue[],
	describe: (value: string) => string,
): readonly Finding[] {
	const seen = new Set<string>();
	return values.flatMap(({value, path}) => {
		if (value === undefined) {
			return [];
		}

		const isRepeated = seen.has(value);
		seen.add(value);
		return isRepeated ? [{path, message: describe(value)}] : [];
	});
}
