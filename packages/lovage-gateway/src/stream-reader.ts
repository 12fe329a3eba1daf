import type {IncomingMessage} from 'node:http';
import type {AttemptFailure} from '@lovagevalve/dispatch';
import {
	type BufferAccount,
	createByteCollector,
	createChunkCount,
} from '@lovagevalve/runtime';
import {watchResponseEnd} from './backend-exchange.js';
import {
	createEventSplitter,
	MAX_EVENT_BYTES,
	type StreamEvent,
} from './event-splitter.js';

/** The part of a failure that a reader of a body finds. */
export type BodyFailure = Extract<AttemptFailure, {kind: 'lost' | 'failed'}>;

/** Callbacks for the events of a response; none is called after the run is closed. */
export type EventListener = Readonly<{
	isClosed: () => boolean;
	/** Whether the caller can't receive more at the moment. */
	isPaused: () => boolean;
	onEvent: (event: StreamEvent) => void;
	/** The response ended after a whole event. */
	onComplete: () => void;
	/** The response broke off or is malformed. */
	onLost: (failure: BodyFailure) => void;
}>;

/** Reader of the events of a response. */
export type EventReader = Readonly<{
	/** Goes on after a pause of the caller. */
	advance: () => void;
}>;

/** Callbacks for a response that is no stream; exactly one is called. */
export type BodyListener = Readonly<{
	onComplete: (body: Uint8Array) => void;
	onLost: (failure: BodyFailure) => void;
}>;

/** Longest error response that is forwarded. */
const MAX_ERROR_BYTES = 262_144;
/** Events that are handled before other exchanges get a turn. */
const MAX_EVENTS_PER_TURN = 64;
const TURN_EVENT = 'turn';
const TRUNCATED: BodyFailure = {kind: 'lost', reason: 'the answer broke off'};
/** The backend server has no part in it. */
const NO_ROOM: BodyFailure = {
	kind: 'failed',
	reason: 'too many bytes are buffered',
	isBlameless: true,
};

/** Describes an answer that is left because of what it consists of. */
export function createFlood(reason: string): BodyFailure {
	return {kind: 'lost', reason: `flood: ${reason}`, isFlood: true};
}

/**
 * Splits a response into events as they arrive. Many events that arrive together are
 * handled over several turns of the event loop, and nothing is read meanwhile.
 */
export function readEvents(
	response: IncomingMessage,
	listener: EventListener,
	account: BufferAccount,
): EventReader {
	const {isClosed, isPaused, onEvent, onComplete, onLost} = listener;
	const splitter = createEventSplitter(account);
	const findFragmentation = createChunkCount();
	let onEnd: (() => void) | undefined;
	let isTurnDue = false;

	/** Hands on the end of the response, or reads on. */
	const settle = (): void => {
		if (splitter.isTooLong()) {
			onLost(createFlood(`an event of more than ${MAX_EVENT_BYTES} bytes`));
		} else if (onEnd === undefined) {
			response.resume();
		} else {
			onEnd();
		}
	};

	const advance = (): void => {
		for (let count = 0; count < MAX_EVENTS_PER_TURN; count += 1) {
			// A slow caller holds up what follows, but not the end of the response.
			if (isClosed() || (isPaused() && onEnd === undefined)) {
				break;
			}

			const event = splitter.next();
			if (event === undefined) {
				settle();
				return;
			}

			onEvent(event);
		}

		response.pause();
		if (!isClosed() && !(isPaused() && onEnd === undefined) && !isTurnDue) {
			isTurnDue = true;
			// An event of the response, as its listeners run under the request's guard.
			setImmediate(() => response.emit(TURN_EVENT));
		}
	};

	response.on(TURN_EVENT, () => {
		isTurnDue = false;
		advance();
	});
	response.on('data', (chunk: Uint8Array) => {
		if (isClosed()) {
			return;
		}

		const reason = findFragmentation(chunk);
		if (reason !== undefined) {
			onLost(createFlood(reason));
		} else if (!splitter.push(chunk)) {
			onLost(NO_ROOM);
		} else if (!isTurnDue) {
			advance();
		}
	});
	const end = (handle: () => void): void => {
		if (onEnd === undefined) {
			onEnd = handle;
			if (!isTurnDue) {
				advance();
			}
		}
	};

	watchResponseEnd(
		response,
		() => {
			end(() => {
				if (splitter.hasPartialEvent()) {
					onLost({kind: 'lost', reason: 'the stream broke off'});
				} else {
					onComplete();
				}
			});
		},
		() => {
			end(() => {
				onLost({kind: 'lost', reason: 'the stream broke off'});
			});
		},
	);
	return {advance};
}

/** Buffers an error response. */
export function readErrorBody(
	response: IncomingMessage,
	{onComplete, onLost}: BodyListener,
	account: BufferAccount,
): void {
	const collector = createByteCollector({account, maxBytes: MAX_ERROR_BYTES});
	const findFragmentation = createChunkCount();
	response.on('data', (chunk: Uint8Array) => {
		const reason = findFragmentation(chunk);
		if (reason !== undefined) {
			onLost(createFlood(reason));
			return;
		}

		switch (collector.push(chunk)) {
			case 'kept': {
				break;
			}

			case 'no-room': {
				onLost(NO_ROOM);
				break;
			}

			case 'too-large': {
				const found = `an error response of more than ${MAX_ERROR_BYTES} bytes`;
				onLost(createFlood(found));
				break;
			}
		}
	});
	watchResponseEnd(
		response,
		() => {
			onComplete(collector.read());
		},
		() => {
			onLost(TRUNCATED);
		},
	);
}
