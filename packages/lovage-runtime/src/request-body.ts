import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BufferAccount} from './buffer-budget.js';
import {createByteCollector} from './byte-collector.js';
import {startDeadline} from './deadline.js';
import {createChunkLease} from './fragmentation.js';
import {stopParsing, stopReading} from './stop-parsing.js';

/** Why a body is not read to its end. */
export type BodyRefusal =
	| 'too-large'
	/** The process may not buffer it now. */
	| 'no-room'
	/** It was not complete in time. */
	| 'late'
	/** It comes in small chunks, of which the process reads too many now. */
	| 'fragmented';

/** Result of reading the body of a request. */
export type RequestBody =
	/** Absent if the request has no body. */
	| Readonly<{kind: 'read'; body: Uint8Array | undefined}>
	| Readonly<{kind: 'refused'; reason: BodyRefusal}>
	/** The sender closed the connection. */
	| Readonly<{kind: 'closed'}>;

/** Bounds of a body. */
export type RequestBodyOptions = Readonly<{
	/** Response of the request. */
	res: ServerResponse;
	/** Account of the request; the caller releases it when the body is not needed any more. */
	account: BufferAccount;
	maxBytes: number;
	/** Time for the whole body, in milliseconds. */
	limitMs: number;
}>;

/** Bytes and time for which the rest of a refused body is read, so that the refusal arrives. */
const MAX_DISCARDED_BYTES = 33_554_432;
/**
 * A chunk takes the time of so many bytes, however small it is. The rest of a body of
 * 24 KB in chunks of four bytes is read.
 */
const CHUNK_COST_BYTES = 4096;
const DISCARD_MS = 1000;

/**
 * Reads the rest of a refused body without keeping it, and closes the connection if
 * that doesn't end soon. Closing it at once would reset it before the refusal is read.
 * A body that costs too much is read no further meanwhile.
 */
export function discardRest(
	req: IncomingMessage,
	res: ServerResponse,
	mayReadChunk: (chunk: Uint8Array) => boolean,
): void {
	let costBytes = 0;
	const giveUp = (): void => {
		cancelDeadline();
		// A response before this one is still under way on the connection.
		const isBehindAnother = res.socket === null && !res.writableFinished;
		if (isBehindAnother && !req.socket.destroyed) {
			req.pause();
			cancelDeadline = startDeadline(DISCARD_MS, giveUp);
		} else {
			// What was parsed of the body already is not handed on any more.
			req.destroy();
			stopParsing(req.socket);
			req.socket.destroy();
		}
	};

	let cancelDeadline = startDeadline(DISCARD_MS, giveUp);
	let isReading = true;
	req.on('data', (chunk: Uint8Array) => {
		costBytes += chunk.length + CHUNK_COST_BYTES;
		if (!isReading) {
			giveUp();
		} else if (costBytes > MAX_DISCARDED_BYTES || !mayReadChunk(chunk)) {
			// Stays open until the deadline: closed now, it would be reset before the refusal is read.
			isReading = false;
			stopReading(req.socket);
		}
	});
	['end', 'close'].forEach((event) => {
		req.once(event, () => {
			cancelDeadline();
		});
	});
}

/**
 * Sends the content of a response whose head names its length, and ends it when the body
 * of the request is read or given up. A response that ends before closes a connection
 * that is not kept alive, which resets it before the sender has read the response.
 */
export function endWhenRead(
	req: IncomingMessage,
	res: ServerResponse,
	content: Uint8Array,
): void {
	if (req.complete || req.destroyed) {
		res.end(content);
		return;
	}

	res.write(content);
	['end', 'close'].forEach((event) => {
		req.once(event, () => {
			res.end();
		});
	});
}

/** Reads the body of a request within its bounds; a refusal is known at once. */
export async function readRequestBody(
	req: IncomingMessage,
	{res, account, maxBytes, limitMs}: RequestBodyOptions,
): Promise<RequestBody> {
	const {'content-length': length, 'transfer-encoding': coding} = req.headers;
	if (length === undefined && coding === undefined) {
		req.resume();
		return {kind: 'read', body: undefined};
	}

	const announcedBytes = Number(length ?? 0);
	return new Promise((resolve) => {
		const collector = createByteCollector({
			account,
			maxBytes,
			...(length === undefined ? {} : {expectedBytes: announcedBytes}),
		});
		const mayReadChunk = createChunkLease(account.takeSmallChunks);
		let isOver = false;
		const settle = (outcome: RequestBody): void => {
			isOver = true;
			cancelDeadline();
			resolve(outcome);
		};

		const refuse = (reason: BodyRefusal): void => {
			if (!isOver) {
				settle({kind: 'refused', reason});
				collector.release();
				discardRest(req, res, createChunkLease(account.takeDiscardedChunks));
			}
		};

		const cancelDeadline = startDeadline(limitMs, () => {
			refuse('late');
		});
		req.on('data', (chunk: Uint8Array) => {
			if (isOver) {
				return;
			}

			const outcome = mayReadChunk(chunk)
				? collector.push(chunk)
				: 'fragmented';
			if (outcome !== 'kept') {
				refuse(outcome);
			}
		});
		req.on('end', () => {
			if (!isOver) {
				settle({kind: 'read', body: collector.read()});
			}
		});
		['error', 'close'].forEach((event) => {
			req.on(event, () => {
				if (!isOver) {
					settle({kind: 'closed'});
					collector.release();
				}
			});
		});
		if (announcedBytes > maxBytes) {
			refuse('too-large');
		} else if (!account.canHold(announcedBytes)) {
			refuse('no-room');
		}
	});
}
