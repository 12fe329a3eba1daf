import {createHash} from 'node:crypto';

/** Number of leading prompt characters that key an engine's prefix cache. */
const CACHE_PREFIX_LENGTH = 1024;
const DIGEST_LENGTH = 32;

/** Digest of the leading part of a prompt, as used in cache events. */
export function digestPromptPrefix(prompt: string): string {
	return createHash('sha256')
		.update(prompt.slice(0, CACHE_PREFIX_LENGTH))
		.digest('hex')
		.slice(0, DIGEST_LENGTH);
}
