import {createHash, type Hash} from 'node:crypto';

/** The tokens of an answer that the entry holds, with their digest. */
export type Delivered = {
	/** Tokens from the first one on. */
	tokens: string[];
	/** Tokens that the digest covers. */
	hashed: number;
	hash: Hash;
};

/** Creates an empty record of delivered tokens. */
export function createDelivered(): Delivered {
	return {tokens: [], hashed: 0, hash: createHash('sha256')};
}

/** Adds tokens at the end. */
export function appendTokens(
	delivered: Delivered,
	tokens: readonly string[],
): void {
	tokens.forEach((token) => {
		delivered.tokens.push(token);
		delivered.hash.update(`${token.length}:${token}`);
	});
	delivered.hashed += tokens.length;
}

/** Digest of every token so far; the record stays open. */
export function readDigest(delivered: Delivered): string {
	return delivered.hash.copy().digest('base64url');
}

/** Tells whether these are the tokens that a digest was made of. */
export function matchesDigest(
	tokens: readonly string[],
	digest: string,
): boolean {
	const delivered = createDelivered();
	appendTokens(delivered, tokens);
	return readDigest(delivered) === digest;
}
