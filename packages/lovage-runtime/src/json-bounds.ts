/** Longest body of a configuration. While a control instance replicates it, it holds some 30 times its size. */
export const MAX_CONFIGURATION_BYTES = 2_097_152;
/**
 * Longest message between instances: one with a configuration holds it as a text in
 * JSON, which is itself such a text, so that its quotes take up to four characters.
 */
export const MAX_MESSAGE_BYTES = 4 * MAX_CONFIGURATION_BYTES;
/**
 * Values in one text. An empty object has 3 bytes as text, and some 60 in memory: the
 * largest message would take more than the heap of an instance.
 */
export const MAX_JSON_VALUES = 1_048_576;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const OPENING_BRACE = 0x7b;

/** Index behind a text of JSON whose first character is at `start`. */
function findTextEnd(content: Uint8Array, start: number): number {
	let end = content.indexOf(QUOTE, start);
	while (end !== -1) {
		let escapes = 0;
		while (content[end - 1 - escapes] === BACKSLASH) {
			escapes += 1;
		}

		if (escapes % 2 === 0) {
			return end + 1;
		}

		end = content.indexOf(QUOTE, end + 1);
	}

	return content.length;
}

/**
 * Whether JSON holds more values than may be parsed. Counts what begins or follows a
 * value, outside of texts, in one pass; that it is JSON isn't checked.
 */
export function hasTooManyValues(content: Uint8Array): boolean {
	let values = 0;
	let at = 0;
	// Ends where the rest is too short to hold as many.
	while (
		at < content.length &&
		content.length - at + values > MAX_JSON_VALUES
	) {
		const byte = content[at]!;
		if (byte === QUOTE) {
			at = findTextEnd(content, at + 1);
		} else {
			at += 1;
			if (
				byte === COMMA ||
				byte === OPENING_BRACKET ||
				byte === OPENING_BRACE
			) {
				values += 1;
			}
		}
	}

	return values > MAX_JSON_VALUES;
}
