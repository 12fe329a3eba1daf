import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
// eslint-disable-next-line import-x/no-unassigned-import
import './enable-roarr.js';
// eslint-disable-next-line import-x/order
import {ROARR} from 'roarr';
import {createLogger, type LogContext, type Logger} from './logs.js';

const STDOUT = 1;
/** Bytes that wait for a reader that is slower than the process. */
const MAX_WAITING_BYTES = 262_144;
/** Lines a second with the same message; more are counted and left out. */
const MAX_LINES_PER_SECOND = 20;
const SECOND_MS = 1000;

/**
 * Makes roarr write JSON lines to standard output. The writes happen beside the
 * event loop; lines that find the buffer full are dropped, and the next line
 * that fits is preceded by their count.
 */
export function installStdoutLogWriter(): void {
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
			// A reader that is gone must not stop the process.
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
}

type RateLimitWindow = {startedAt: number; lines: number; leftOut: number};

/** Creates the logger of a part that writes a bounded number of lines a second for each message. */
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
