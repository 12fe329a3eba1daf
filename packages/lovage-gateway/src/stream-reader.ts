import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {watchResponseEnd} from './backend-exchange.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';

/** Callbacks for the events of a response; none is called after the run is closed. */
export type EventListener = Readonly<{
	isClosed: () => boolean;
	onEvent: (event: StreamEvent) => void;
	/** The response ended after a whole event. */
	onComplete: () => void;
	/** The response broke off or is malformed. */
	onLost: (reason: string) => void;
}>;

/** Callbacks for a response that is no stream; exactly one is called. */
export type BodyListener = Readonly<{
	onComplete: (body: Uint8Array) => void;
	onLost: (reason: string) => void;
}>;

/** Longest error response that is forwarded. */
const MAX_ERROR_BYTES = 262_144;

/** Splits a response into events as they arrive. */
export function readEvents(
	response: IncomingMessage,
	{isClosed, onEvent, onComplete, onLost}: EventListener,
): void {
	const splitter = createEventSplitter();
	const onTruncated = (): void => {
		onLost('the stream broke off');
	};

	response.on('data', (chunk: Uint8Array) => {
		if (isClosed()) {
			return;
		}

		for (const event of splitter.push(chunk)) {
			if (isClosed()) {
				return;
			}

			onEvent(event);
		}

		if (splitter.isTooLong()) {
			onLost('an event is too long');
		}
	});
	watchResponseEnd(
		response,
		() => {
			if (isClosed()) {
				return;
			}

			if (splitter.hasPartialEvent()) {
				onTruncated();
			} else {
				onComplete();
			}
		},
		onTruncated,
	);
}

/** Buffers an error response. */
export function readErrorBody(
	response: IncomingMessage,
	{onComplete, onLost}: BodyListener,
): void {
	const chunks: Uint8Array[] = [];
	let size = 0;
	response.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
		size += chunk.length;
		if (size > MAX_ERROR_BYTES) {
			onLost('the error response is too long');
		}
	});
	watchResponseEnd(
		response,
		() => {
			onComplete(Buffer.concat(chunks));
		},
		() => {
			onLost('the answer broke off');
		},
	);
}
