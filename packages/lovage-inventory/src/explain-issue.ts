import type {z} from 'zod';
import type {ValuePath} from './configuration-error.js';

/** A validation error at a path, not yet located in a file. */
export type Finding = Readonly<{path: ValuePath; message: string}>;

const UNITS: Readonly<Record<string, string>> = {
	string: ' characters',
	array: ' items',
};

const TYPE_NAMES: Readonly<Record<string, string>> = {
	array: 'list',
	int: 'whole number',
	object: 'mapping',
	string: 'string',
};

function explainBound(word: string, bound: unknown, origin: string): string {
	const amount = `${String(bound)}${UNITS[origin] ?? ''}`;
	const verb = origin in UNITS ? 'must have' : 'must be';
	return `${verb} ${word} ${amount}`;
}

function explainType(issue: z.core.$ZodIssueInvalidType): string {
	if (issue.input === undefined) {
		return 'is missing';
	}

	return `must be a ${TYPE_NAMES[issue.expected] ?? issue.expected}`;
}

function explainBoundIssue(
	issue: z.core.$ZodIssueTooBig | z.core.$ZodIssueTooSmall,
): string {
	if (issue.code === 'too_big') {
		const word = issue.inclusive === false ? 'less than' : 'at most';
		return explainBound(word, issue.maximum, issue.origin);
	}

	const word = issue.inclusive === false ? 'more than' : 'at least';
	return explainBound(word, issue.minimum, issue.origin);
}

function explainMessage(issue: z.core.$ZodIssue): string {
	switch (issue.code) {
		case 'invalid_type': {
			return explainType(issue);
		}

		case 'invalid_value': {
			return issue.input === undefined
				? 'is missing'
				: `must be one of ${issue.values.map(String).join(', ')}`;
		}

		case 'too_big':
		case 'too_small': {
			return explainBoundIssue(issue);
		}

		case 'invalid_format': {
			return issue.format === 'url' ? 'must be a URL' : issue.message;
		}

		case 'invalid_element':
		case 'invalid_key':
		case 'invalid_union':
		case 'not_multiple_of':
		case 'unrecognized_keys':
		case 'custom': {
			return issue.message;
		}
	}
}

/** Converts a zod issue into findings with messages for operators. */
export function explainIssue(issue: z.core.$ZodIssue): readonly Finding[] {
	const path = issue.path.map((segment) =>
		typeof segment === 'number' ? segment : String(segment),
	);
	return issue.code === 'unrecognized_keys'
		? issue.keys.map((key) => ({
				path: [...path, key],
				message: 'is not a known key',
			}))
		: [{path, message: explainMessage(issue)}];
}
