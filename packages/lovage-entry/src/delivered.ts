import {createHash, type Hash} from 'node:crypto';

/** Tokens of a generation buffered by the entry, with a running digest. */
export type DeliveredTokens = {
	/** All tokens so far, in order. */
	tokens: string[];
	/** Number of tokens that the digest covers. */
	hashedCount: number;
	hash: Hash;
};

/** Creates an empty token buffer. */
export function createDeliveredTokens(): DeliveredTokens {
	return {tokens: [], hashedCount: 0, hash: createHash('sha256')};
}

/** Appends tokens and updates the digest. */
export function appendTokens(
	delivered: DeliveredTokens,
	tokens: readonly string[],
): void {
	tokens.forEach((token) => {
		delivered.tokens.push(token);
		// The length prefix keeps token boundaries part of the digest.
		delivered.hash.update(`${token.length}:${token}`);
	});
	delivered.hashedCount += tokens.length;
}

/**
 * Returns the digest of all tokens so far; more tokens can be appended
 * afterwards.
 */
export function readDigest(delivered: DeliveredTokens): string {
	return delivered.hash.copy().digest('base64url');
}

/** Whether a digest was computed from exactly these tokens. */
export function matchesDigest(
	tokens: readonly string[],
	digest: string,
): boolean {
	const delivered = createDeliveredTokens();
	appendTokens(delivered, tokens);
	return readDigest(delivered) === digest;
}
