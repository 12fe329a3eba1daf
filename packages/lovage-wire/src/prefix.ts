import {createHash} from 'node:crypto';

/** Leading characters of a prompt that an engine's cache is keyed by. */
const CACHE_PREFIX_LENGTH = 1024;
const DIGEST_LENGTH = 32;

/** Digest of a prompt's leading part, as cache events name it. */
export function digestPromptPrefix(prompt: string): string {
	return createHash('sha256')
		.update(prompt.slice(0, CACHE_PREFIX_LENGTH))
		.digest('hex')
		.slice(0, DIGEST_LENGTH);
}
