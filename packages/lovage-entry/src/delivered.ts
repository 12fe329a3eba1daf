import {createHash, type Hash} from 'node:crypto';

/** The tokens of an answer that the entry holds, with their digest. */
export type DeliveredTokens = {
	/** Tokens from the first one on. */
	tokens: string[];
	/** Tokens that the digest covers. */
	hashedCount: number;
	hash: Hash;
};

/** Creates an empty record of delivered tokens. */
export function createDeliveredTokens(): DeliveredTokens {
	return {tokens: [], hashedCount: 0, hash: createHash('sha256')};
}

/** Adds tokens at the end. */
export function appendTokens(
	delivered: DeliveredTokens,
	tokens: readonly string[],
): void {
	tokens.forEach((token) => {
		delivered.tokens.push(token);
		delivered.hash.update(`${token.length}:${token}`);
	});
	delivered.hashedCount += tokens.length;
}

/** Digest of every token so far; the record stays open. */
export function readDigest(delivered: DeliveredTokens): string {
	return delivered.hash.copy().digest('base64url');
}

/** Tells whether these are the tokens that a digest was made of. */
export function matchesDigest(
	tokens: readonly string[],
	digest: string,
): boolean {
	const delivered = createDeliveredTokens();
	appendTokens(delivered, tokens);
	return readDigest(delivered) === digest;
}
