import process from 'node:process';
import type {Logger} from './logs.js';
import {EXIT_CODES} from './program.js';

/** Bound of a logged stack, which holds values from outside. */
const MAX_REASON_LENGTH = 2000;

/** Describes an error for a log line: its stack, or what was thrown instead of one. */
export function describeError(error: unknown): string {
	const text =
		error instanceof Error ? (error.stack ?? error.message) : String(error);
	return text.slice(0, MAX_REASON_LENGTH);
}

/** Exit code of Node.js if the program awaits something that can't happen any more. */
const EXIT_UNSETTLED_AWAIT = 13;

/**
 * Makes the last log line of a process name why it ended by itself. `flushBlocking`
 * writes the last lines before it returns.
 */
export function logProcessEnd(log: Logger, flushBlocking: () => void): void {
	process.on('uncaughtException', (error, origin) => {
		log.error('The process ends: nothing caught an error.', {
			origin,
			reason: describeError(error),
			exitCode: EXIT_CODES.failure,
		});
		flushBlocking();
		// The state may be broken.
		process.exit(EXIT_CODES.failure);
	});
	process.on('exit', () => {
		// Node.js sets it in a listener of the same event, which comes first.
		const {exitCode = EXIT_CODES.ok} = process;
		if (exitCode === EXIT_UNSETTLED_AWAIT) {
			log.error('The process ends: nothing is left to wait for.', {exitCode});
			flushBlocking();
		}
	});
}
