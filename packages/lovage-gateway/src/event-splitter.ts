import {Buffer} from 'node:buffer';
import {parseStreamPart, type StreamPart} from '@lovagevalve/dispatch';
import type {BufferAccount} from '@lovagevalve/runtime';

/** A part of a body up to blank lines: a whole server-sent event, a comment, or neither. */
export type StreamEvent = StreamPart & Readonly<{bytes: Uint8Array}>;

/** Splits a byte stream at blank lines; its cost is linear in the bytes. */
export type EventSplitter = Readonly<{
	/** Adds bytes; false if they may not be buffered. */
	push: (chunk: Uint8Array) => boolean;
	/** Takes the next whole event. */
	next: () => StreamEvent | undefined;
	/** Whether an incomplete event is buffered, once `next` has found no whole one. */
	hasPartialEvent: () => boolean;
	/** Whether that event is longer than any that is accepted. */
	isTooLong: () => boolean;
}>;

/** Longest event; generations send events of a few tokens. */
export const MAX_EVENT_BYTES = 131_072;
const INITIAL_BYTES = 1024;
const LF = 0x0a;
const CR = 0x0d;

/** Length of the line break at an index, or 0. */
function measureLineBreak(bytes: Uint8Array, at: number): number {
	if (bytes[at] === LF) {
		return 1;
	}

	return bytes[at] === CR && bytes[at + 1] === LF ? 2 : 0;
}

function parseEvent(bytes: Uint8Array): StreamEvent {
	// A view would keep the whole buffer as long as the event.
	const copy = Buffer.from(bytes);
	const {id, ...part} = parseStreamPart(copy.toString('latin1'));
	// So does a part of a text, and the id is kept until the next event.
	const ownId = id && Buffer.from(id, 'latin1').toString('latin1');
	return {...part, id: ownId, bytes: copy};
}

/** Creates an event splitter; each stream needs its own. */
export function createEventSplitter(account: BufferAccount): EventSplitter {
	let buffer = Buffer.alloc(0);
	/** Bytes from `start` to `size` are not taken yet; those up to `searched` hold no end. */
	let start = 0;
	let searched = 0;
	let size = 0;

	const makeRoom = (added: number): boolean => {
		const kept = size - start;
		const needed = kept + added;
		let target = buffer;
		if (needed > buffer.length) {
			const capacity = Math.max(INITIAL_BYTES, buffer.length * 2, needed);
			if (!account.resize(capacity)) {
				return false;
			}

			target = Buffer.allocUnsafeSlow(capacity);
		}

		buffer.copy(target, 0, start, size);
		buffer = target;
		searched -= start;
		start = 0;
		size = kept;
		return true;
	};

	/** Index behind the blank lines that end the first event, or -1. */
	const findEnd = (): number => {
		const bytes = buffer.subarray(0, size);
		for (
			let at = bytes.indexOf(LF, searched);
			at !== -1;
			at = bytes.indexOf(LF, at + 1)
		) {
			searched = at;
			let end = at + 1;
			for (
				let length = measureLineBreak(bytes, end);
				length > 0;
				length = measureLineBreak(bytes, end)
			) {
				end += length;
			}

			if (end > at + 1) {
				return end;
			}

			// The rest of a blank line may still arrive.
			if (end === size || (bytes[end] === CR && end + 1 === size)) {
				return -1;
			}
		}

		searched = size;
		return -1;
	};

	return {
		push(chunk) {
			if (size + chunk.length > buffer.length && !makeRoom(chunk.length)) {
				return false;
			}

			buffer.set(chunk, size);
			size += chunk.length;
			return true;
		},
		next() {
			const end = findEnd();
			if (end === -1) {
				return undefined;
			}

			const event = parseEvent(buffer.subarray(start, end));
			start = end;
			searched = end;
			return event;
		},
		hasPartialEvent: () => size > start,
		isTooLong: () => size - start > MAX_EVENT_BYTES,
	};
}
