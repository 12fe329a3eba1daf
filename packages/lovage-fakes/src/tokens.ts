import {createHash} from 'node:crypto';

const TOKEN_HEX_DIGITS = 12;

function digest(...parts: readonly string[]): string {
	const hash = createHash('sha256');
	parts.forEach((part) => {
		hash.update(part).update('\0');
	});
	return hash.digest('hex').slice(0, TOKEN_HEX_DIGITS);
}

/** Creates the first token of a run; the salt makes the runs of a prompt differ. */
export function createFirstToken(prompt: string, salt: string): string {
	return `${salt}.${digest(prompt, salt)}`;
}

/** Creates the token at `index`, derived from the previous token. */
export function createNextToken(
	prompt: string,
	index: number,
	previous: string,
): string {
	return `w${digest(prompt, String(index), previous)}`;
}

function createExpectedToken(
	prompt: string,
	tokens: readonly string[],
	index: number,
): string {
	if (index === 0) {
		return createFirstToken(prompt, tokens[0]!.split('.')[0]!);
	}

	return createNextToken(prompt, index, tokens[index - 1]!);
}

/**
 * Returns the index of the first token that is missing, repeated, or from
 * another run or prompt; undefined if all tokens are from a single run.
 */
export function findTranscriptFault(
	prompt: string,
	tokens: readonly string[],
): number | undefined {
	const index = tokens.findIndex(
		(token, i) => token !== createExpectedToken(prompt, tokens, i),
	);
	return index === -1 ? undefined : index;
}

/** Returns whether the tokens are the start of a single run of the prompt. */
export function verifyTranscript(
	prompt: string,
	tokens: readonly string[],
): boolean {
	return findTranscriptFault(prompt, tokens) === undefined;
}
