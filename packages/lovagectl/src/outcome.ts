import {err, ok, type Result} from 'neverthrow';
import type {ErrorKind} from './exit-codes.js';

/** Output of a successful command. */
export type Output = Readonly<{
	/** Human-readable lines. */
	lines: readonly string[];
	/** The same result as JSON, printed with `--json`. */
	json: unknown;
	/** Exit code, if not 0. */
	exitCode?: number;
}>;

/** A failure of a command. */
export type CommandError = Readonly<{
	kind: ErrorKind;
	/** Messages for standard error, one line each. */
	messages: readonly string[];
	/** Additional data, printed with `--json`. */
	detail?: unknown;
	/** Exit code, if not the one of the kind. */
	exitCode?: number;
}>;

/** Result of a command. */
export type CommandResult = Result<Output, CommandError>;

/** Creates a successful result. */
export function createOutput(
	lines: readonly string[],
	json: unknown,
	exitCode?: number,
): Result<Output, CommandError> {
	return ok({lines, json, exitCode});
}

/** Creates a command error. */
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

/** Creates a failed result. */
export function fail(
	kind: ErrorKind,
	messages: string | readonly string[],
	detail?: unknown,
): Result<never, CommandError> {
	return err(createError(kind, messages, detail));
}
