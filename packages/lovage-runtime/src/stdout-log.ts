import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
// eslint-disable-next-line import-x/no-unassigned-import
import './enable-roarr.js';
// eslint-disable-next-line import-x/order
import {ROARR} from 'roarr';
import {createLogger, type LogContext, type Logger} from './logs.js';

const STDOUT = 1;
/** Limit of buffered output while the reader is slower than the process. */
const MAX_WAITING_BYTES = 262_144;
/**
 * Lines per second with the same message; further ones are counted and omitted.
 */
const MAX_LINES_PER_SECOND = 20;
const SECOND_MS = 1000;

/** Writer of the log lines of a process. */
export type StdoutLogWriter = Readonly<{
	/**
	 * Resolves when all lines are written or the time limit, in milliseconds, has
	 * passed. A process that exits before that loses its last lines.
	 */
	flush: (limitMs: number) => Promise<void>;
	/** Gives all lines to the system and waits, without serving anything else. */
	flushBlocking: () => void;
}>;

const FLUSH_POLL_MS = 5;
/** A thread writes meanwhile; a reader that is slower must not hold up the end of a process. */
const FLUSH_BLOCKING_MS = 30;

/**
 * Configures roarr to write JSON lines to standard output. Writes are
 * asynchronous and don't block the event loop. Lines are dropped while the buffer
 * is full; the number of dropped lines is logged before the next line that fits.
 */
export function installStdoutLogWriter(): StdoutLogWriter {
	let waiting: string[] = [];
	let waitingBytes = 0;
	let dropped = 0;
	let isWriting = false;

	const flush = (): void => {
		if (isWriting || waiting.length === 0) {
			return;
		}

		isWriting = true;
		writeAll(Buffer.from(waiting.join('')));
		waiting = [];
		waitingBytes = 0;
	};

	const writeAll = (data: Uint8Array): void => {
		write(STDOUT, data, (error, written) => {
			// A closed pipe must not stop the process.
			if (error === null && written < data.length) {
				writeAll(data.subarray(written));
				return;
			}

			isWriting = false;
			flush();
		});
	};

	ROARR.write = (line) => {
		if (waitingBytes + line.length > MAX_WAITING_BYTES) {
			dropped += 1;
			return;
		}

		if (dropped > 0) {
			waiting.push(`{"message":"log: Dropped lines.","count":${dropped}}\n`);
			dropped = 0;
		}

		waiting.push(`${line}\n`);
		waitingBytes += line.length;
		flush();
	};

	return {
		async flush(limitMs) {
			const deadlineAt = performance.now() + limitMs;
			const isBusy = (): boolean => isWriting && performance.now() < deadlineAt;
			while (isBusy()) {
				// eslint-disable-next-line no-await-in-loop -- polls until the lines are written
				await sleep(FLUSH_POLL_MS);
			}
		},
		flushBlocking() {
			// Also behind a write that is under way, whose callback can't run any more.
			write(STDOUT, Buffer.from(waiting.join('')), () => undefined);
			waiting = [];
			const endAt = performance.now() + FLUSH_BLOCKING_MS;
			while (performance.now() < endAt) {
				// A synchronous write would hang behind a reader that has stopped.
			}
		},
	};
}

type RateLimitWindow = {startedAt: number; lines: number; leftOut: number};

/** Creates a logger that limits the lines per second for each message. */
export function createRateLimitedLogger(
	part: string,
	now: () => number,
): Logger {
	const log = createLogger(part);
	const windows = new Map<string, RateLimitWindow>();

	const countLine = (message: string): LogContext | undefined => {
		const at = now();
		const window = windows.get(message);
		if (window === undefined || at - window.startedAt >= SECOND_MS) {
			windows.set(message, {startedAt: at, lines: 1, leftOut: 0});
			const leftOut = window?.leftOut ?? 0;
			return leftOut > 0 ? {leftOut} : {};
		}

		if (window.lines >= MAX_LINES_PER_SECOND) {
			window.leftOut += 1;
			return undefined;
		}

		window.lines += 1;
		return {};
	};

	const limitRate =
		(level: keyof Logger) =>
		(message: string, context: LogContext = {}): void => {
			const extra = countLine(message);
			if (extra !== undefined) {
				log[level](message, {...context, ...extra});
			}
		};

	return {
		debug: limitRate('debug'),
		info: limitRate('info'),
		warn: limitRate('warn'),
		error: limitRate('error'),
	};
}
