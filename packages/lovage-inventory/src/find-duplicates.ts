import type {Finding} from './explain-issue.js';
import type {ValuePath} from './configuration-error.js';

/** A value that must be unique, and its place. */
export type UniqueValue = Readonly<{
	/** Left out of the check when undefined. */
	value: string | undefined;
	path: ValuePath;
}>;

/** Reports each entry whose value an earlier entry has. */
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
