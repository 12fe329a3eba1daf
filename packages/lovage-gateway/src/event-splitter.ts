import {Buffer} from 'node:buffer';

/** A complete server-sent event, or a comment. */
export type StreamEvent = Readonly<{
	id: string | undefined;
	/** False for comments, which don't show that a stream makes progress. */
	hasData: boolean;
	bytes: Uint8Array;
}>;

/** Splits a byte stream into complete server-sent events. */
export type EventSplitter = Readonly<{
	push: (chunk: Uint8Array) => readonly StreamEvent[];
	/** Whether an incomplete event is buffered. */
	hasPartialEvent: () => boolean;
}>;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Index after the blank line that ends the first event, or -1. */
function findEventEnd(bytes: Uint8Array): number {
	let isLineEmpty = false;
	const end = bytes.findIndex((byte) => {
		if (byte !== LINE_FEED) {
			isLineEmpty &&= byte === CARRIAGE_RETURN;
			return false;
		}

		const isBlank = isLineEmpty;
		isLineEmpty = true;
		return isBlank;
	});
	return end === -1 ? -1 : end + 1;
}

function parseEvent(bytes: Uint8Array): StreamEvent {
	const lines = Buffer.from(bytes).toString('latin1').split('\n');
	const idLine = lines.find((text) => text.startsWith('id:'));
	return {
		id: idLine?.slice('id:'.length).trim(),
		hasData: lines.some((text) => text.startsWith('data')),
		bytes,
	};
}

/** Creates an event splitter; each stream needs its own. */
export function createEventSplitter(): EventSplitter {
	let buffer: Uint8Array = Buffer.alloc(0);
	return {
		push(chunk) {
			buffer = buffer.length === 0 ? chunk : Buffer.concat([buffer, chunk]);
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
	};
}
