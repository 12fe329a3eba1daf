/** One whole event of a stream, opaque but for its id. */
export type StreamEvent = Readonly<{id: string | undefined; bytes: Buffer}>;

/** Cuts a stream into whole events. */
export type EventSplitter = Readonly<{
	push: (chunk: Buffer) => readonly StreamEvent[];
	/** Bytes of an event whose end hasn't come. */
	hasRest: () => boolean;
}>;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Position behind the blank line that ends the first event, or -1. */
function findEnd(bytes: Buffer): number {
	let isLineEmpty = true;
	for (let i = 0; i < bytes.length; i += 1) {
		if (bytes[i] === LINE_FEED) {
			if (isLineEmpty && i > 0) {
				return i + 1;
			}

			isLineEmpty = true;
		} else if (bytes[i] !== CARRIAGE_RETURN) {
			isLineEmpty = false;
		}
	}

	return -1;
}

function readId(bytes: Buffer): string | undefined {
	const line = bytes
		.toString('latin1')
		.split('\n')
		.find((text) => text.startsWith('id:'));
	return line?.slice('id:'.length).trim();
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
	let rest: Buffer = Buffer.alloc(0);
	return {
		push(chunk) {
			rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
			const events: StreamEvent[] = [];
			for (let end = findEnd(rest); end !== -1; end = findEnd(rest)) {
				const bytes = rest.subarray(0, end);
				rest = rest.subarray(end);
				events.push({id: readId(bytes), bytes});
			}

			return events;
		},
		hasRest: () => rest.length > 0,
	};
}
