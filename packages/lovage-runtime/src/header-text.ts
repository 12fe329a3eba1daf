/** Longest text from outside that is put into one header. */
const MAX_LENGTH = 4096;
const HEADER_TEXT = /^[\t\u0020-\u007E\u0080-\u00FF]*$/;

/** Whether the value of a header may hold a text, which Node.js refuses by throwing. */
export function isHeaderText(text: string): boolean {
	return text.length <= MAX_LENGTH && HEADER_TEXT.test(text);
}
