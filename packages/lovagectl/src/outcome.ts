import {err, ok, type Result} from 'neverthrow';
import type {ErrorKind} from './exit-codes.js';

/** What a command prints on standard output. */
export type Output = Readonly<{
	/** Lines for people. */
	lines: readonly string[];
	/** The same for programs, printed with `--json`. */
	json: unknown;
}>;

/** A failure of a command. */
export type CommandError = Readonly<{
	kind: ErrorKind;
	/** One line each. */
	messages: readonly string[];
	/** More for programs, printed with `--json`. */
	detail?: unknown;
}>;

/** Outcome of a command. */
export type CommandResult = Result<Output, CommandError>;

/** Builds the outcome of a command that worked. */
export function createOutput(
	lines: readonly string[],
	json: unknown,
): Result<Output, CommandError> {
	return ok({lines, json});
}

/** Builds a failure. */
export function createError(
	kind: ErrorKind,
	messages: string | readonly string[],
	detail?: unknown,
): CommandError {
	return {
		kind,
		messages: typeof messages === 'string' ? [messages] : messages,
		detail,
	};
}

/** Builds the outcome of a command that failed. */
export function fail(
	kind: ErrorKind,
	messages: string | readonly string[],
	detail?: unknown,
): Result<never, CommandError> {
	return err(createError(kind, messages, detail));
}
