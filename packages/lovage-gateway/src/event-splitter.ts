import {Buffer} from 'node:buffer';
import {parseStreamPart, type StreamPart} from '@lovagevalve/dispatch';

/** A part of a body up to a blank line: a whole server-sent event, a comment, or neither. */
export type StreamEvent = StreamPart & Readonly<{bytes: Uint8Array}>;

/** Splits a byte stream at blank lines. */
export type EventSplitter = Readonly<{
	push: (chunk: Uint8Array) => readonly StreamEvent[];
	/** Whether an incomplete event is buffered. */
	hasPartialEvent: () => boolean;
	/** Whether the buffered event is longer than any that is accepted. */
	isTooLong: () => boolean;
}>;

/** Generations send events of a few tokens. */
const MAX_EVENT_BYTES = 131_072;

/** Ends of a line that is followed by a blank one. */
const EVENT_ENDS = ['\n\n', '\n\r\n'];

/** Index after the blank line that ends the first event, or -1. */
function findEventEnd({buffer, byteOffset, length}: Uint8Array): number {
	const bytes = Buffer.from(buffer, byteOffset, length);
	const ends = EVENT_ENDS.map((end) => ({end, at: bytes.indexOf(end)}))
		.filter(({at}) => at !== -1)
		.map(({end, at}) => at + end.length);
	return ends.length === 0 ? -1 : Math.min(...ends);
}

function parseEvent(bytes: Uint8Array): StreamEvent {
	const part = parseStreamPart(Buffer.from(bytes).toString('latin1'));
	return {...part, bytes};
}

/** Creates an event splitter; each stream needs its own. */
export function createEventSplitter(): EventSplitter {
	let buffer = Buffer.alloc(0);
	return {
		push(chunk) {
			buffer = Buffer.concat([buffer, chunk]);
			const events: StreamEvent[] = [];
			for (
				let end = findEventEnd(buffer);
				end !== -1;
				end = findEventEnd(buffer)
			) {
				const bytes = buffer.subarray(0, end);
				buffer = buffer.subarray(end);
				events.push(parseEvent(bytes));
			}

			return events;
		},
		hasPartialEvent: () => buffer.length > 0,
		isTooLong: () => buffer.length > MAX_EVENT_BYTES,
	};
}
