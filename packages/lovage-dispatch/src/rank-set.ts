/** Ranks in one hexadecimal digit. */
const RANKS_PER_DIGIT = 4;
/** More entries than any deployment has, in digits. */
const MAX_DIGITS = 25_000;

/** Encodes which ranks are in a set, the lowest in the first hexadecimal digit. */
export function encodeRanks(isMember: readonly boolean[]): string {
	const count = Math.ceil(isMember.length / RANKS_PER_DIGIT);
	return Array.from({length: count}, (_, digit) =>
		isMember
			.slice(digit * RANKS_PER_DIGIT, (digit + 1) * RANKS_PER_DIGIT)
			.reduce((sum, member, bit) => sum + (member ? 2 ** bit : 0), 0)
			.toString(16),
	).join('');
}

/** Decodes the ranks in a set, in ascending order. */
export function decodeRanks(text: string): readonly number[] {
	return [...text].flatMap((digit, i) => {
		const value = Number.parseInt(digit, 16);
		return Array.from({length: RANKS_PER_DIGIT}, (_, bit) => bit)
			.filter((bit) => Math.floor(value / 2 ** bit) % 2 === 1)
			.map((bit) => i * RANKS_PER_DIGIT + bit);
	});
}

/** Whether a value of a message is a set of ranks. */
export function isRankSet(value: unknown): value is string {
	return (
		typeof value === 'string' &&
		value.length <= MAX_DIGITS &&
		/^[\da-f]*$/.test(value)
	);
}
