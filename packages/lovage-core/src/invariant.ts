/** Thrown when an internal invariant is violated. The process must stop. */
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

/** Checks at compile time that a switch is exhaustive, and throws if the branch is reached anyway. */
export function assertNever(value: never): never {
	throw new InvariantError(`Unexpected value: ${JSON.stringify(value)}`);
}
