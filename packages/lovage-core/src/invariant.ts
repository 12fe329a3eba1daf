/** Thrown when something that can't happen did: the process must stop. */
export class InvariantError extends Error {
	override readonly name = 'InvariantError';
}

/** Throws {@link InvariantError} unless `condition` holds. */
export function invariant(
	condition: unknown,
	message: string,
): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}

/** Marks a branch that exhaustive switches never reach. */
export function assertNever(value: never): never {
	throw new InvariantError(`Unexpected value: ${JSON.stringify(value)}`);
}
