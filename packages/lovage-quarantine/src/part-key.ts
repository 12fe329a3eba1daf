const PREFIX = 'part:';

/** Creates the key of a part of prompts in the quarantine's records and lists. */
export function createPartKey(part: string): string {
	return PREFIX + part;
}

/** Whether a key names a part of prompts and not a whole request. */
export function isPartKey(key: string): boolean {
	return key.startsWith(PREFIX);
}
