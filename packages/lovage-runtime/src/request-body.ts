import type {IncomingMessage} from 'node:http';
import type {BufferAccount} from './buffer-budget.js';
import {createByteCollector} from './byte-collector.js';
import {startDeadline} from './deadline.js';
import {createChunkCount} from './fragmentation.js';

/** Why a body is not read to its end. */
export type BodyRefusal =
	| 'too-large'
	/** The process may not buffer it now. */
	| 'no-room'
	/** It was not complete in time. */
	| 'late'
	/** It comes in too many small chunks. */
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
	/** Account of the request; the caller releases it when the body is not needed any more. */
	account: BufferAccount;
	maxBytes: number;
	/** Time for the whole body, in milliseconds. */
	limitMs: number;
}>;

/** Bytes and time for which the rest of a refused body is read, so that the refusal arrives. */
const MAX_DISCARDED_BYTES = 4_194_304;
/** A chunk takes the time of so many bytes, however small it is. */
const CHUNK_COST_BYTES = 1024;
const DISCARD_MS = 1000;

/**
 * Reads the rest of a refused body without keeping it, and closes the connection if
 * that doesn't end soon. Closing it at once would reset it before the refusal is read.
 */
function discardRest(req: IncomingMessage): void {
	let costBytes = 0;
	const cancelDeadline = startDeadline(DISCARD_MS, () => {
		req.socket.destroy();
	});
	req.on('data', ({length}: Uint8Array) => {
		costBytes += length + CHUNK_COST_BYTES;
		if (costBytes > MAX_DISCARDED_BYTES && !req.socket.destroyed) {
			req.socket.destroy();
		}
	});
	req.once('end', cancelDeadline);
	req.once('close', cancelDeadline);
}

/** Reads the body of a request within its bounds; a refusal is known at once. */
export async function readRequestBody(
	req: IncomingMessage,
	{account, maxBytes, limitMs}: RequestBodyOptions,
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
		const isFragmentedBy = createChunkCount();
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
				discardRest(req);
			}
		};

		const cancelDeadline = startDeadline(limitMs, () => {
			refuse('late');
		});
		req.on('data', (chunk: Uint8Array) => {
			if (isOver) {
				return;
			}

			const outcome = isFragmentedBy(chunk)
				? 'fragmented'
				: collector.push(chunk);
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
