import process from 'node:process';
// Must be imported before roarr.
// eslint-disable-next-line import-x/no-unassigned-import
import './enable-roarr.js';
// eslint-disable-next-line import-x/order
import {Roarr, ROARR} from 'roarr';

/** Structured context of a log line. */
export type LogContext = Readonly<Record<string, string | number | boolean>>;

/** Writes log lines prefixed with the name of a component. */
export type Logger = Readonly<{
	debug: (message: string, context?: LogContext) => void;
	info: (message: string, context?: LogContext) => void;
	warn: (message: string, context?: LogContext) => void;
	error: (message: string, context?: LogContext) => void;
}>;

/** Minimum level of the log lines written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

const LEVELS: Readonly<Record<LogLevel, number>> = {
	debug: 20,
	info: 30,
	warn: 40,
	error: 50,
};

// Programs that install no writer, such as command-line tools, log nothing.
ROARR.write = () => undefined;

/**
 * Configures roarr to write JSON lines to standard error, without requiring an
 * environment variable.
 */
export function installLogWriter(level: LogLevel): void {
	ROARR.write = (line) => {
		const {context} = JSON.parse(line) as {context: {logLevel?: number}};
		if ((context.logLevel ?? LEVELS.info) >= LEVELS[level]) {
			process.stderr.write(`${line}\n`);
		}
	};
}

/** Creates the logger of a component, such as `entry.lease`. */
export function createLogger(part: string): Logger {
	const log = Roarr.child({part});
	const prefix = `${part}: `;
	return {
		debug(message, context = {}) {
			log.debug(context, prefix + message);
		},
		info(message, context = {}) {
			log.info(context, prefix + message);
		},
		warn(message, context = {}) {
			log.warn(context, prefix + message);
		},
		error(message, context = {}) {
			log.error(context, prefix + message);
		},
	};
}
