import type {IncomingMessage} from 'node:http';
import {isCloseDelimited} from './answer-head.js';

/** Event after which it is known whether a close-delimited response is whole. */
const SETTLED_EVENT = 'settled';

/**
 * Responses whose connection failed, including failures seen after the `end`
 * event.
 */
const brokenOff = new WeakSet<IncomingMessage>();

/** Records that the connection of a response failed. */
export function markBrokenOff(response: IncomingMessage): void {
	brokenOff.add(response);
}

/** Whether a response has arrived whole, by its length or its last chunk. */
export function hasEnded(response: IncomingMessage): boolean {
	return response.complete && !isCloseDelimited(response.rawHeaders);
}

/**
 * Detects a reset at the end of a close-delimited response. When the last bytes
 * and the RST arrive together, Node.js reports an orderly end of the stream,
 * and only a write surfaces the error. A peer that closed properly ignores the
 * extra line break, as HTTP recommends.
 */
export function detectResetAtEnd(response: IncomingMessage): void {
	if (isCloseDelimited(response.rawHeaders)) {
		response.socket.prependOnceListener('end', () => {
			response.socket.write('\r\n', (error) => {
				if (error) {
					markBrokenOff(response);
				}
			});
		});
	}
}

/** Whether a response that has ended is whole; known a turn of the event loop after its end. */
export function isWhole(response: IncomingMessage): boolean {
	return response.complete && !brokenOff.has(response);
}

/**
 * Calls `onComplete` if the whole response has arrived and `onTruncated` if the
 * connection failed before that.
 */
export function watchResponseEnd(
	response: IncomingMessage,
	onComplete: () => void,
	onTruncated: () => void,
): void {
	const settle = (): void => {
		if (isWhole(response)) {
			onComplete();
		} else {
			onTruncated();
		}
	};

	response.on('error', onTruncated);
	response.on('end', () => {
		if (isCloseDelimited(response.rawHeaders)) {
			// An event of the response, as its listeners run under the request's guard.
			response.once(SETTLED_EVENT, settle);
			setImmediate(() => response.emit(SETTLED_EVENT));
		} else {
			settle();
		}
	});
}
