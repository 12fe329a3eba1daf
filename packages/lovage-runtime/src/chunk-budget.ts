/** Small chunks that a process may still read, and when that was so. */
export type ChunkBudget = Readonly<{chunks: number; atMs: number}>;

/**
 * Small chunks that a process reads at once. A body of 24 KB in chunks of four bytes has
 * 6,000. Each took 1.6 to 1.9 us of a processor, so that all take some 0.5 s of the
 * smallest machine (0.243 cores), in blocks of 64 KB between which others are served.
 */
export const MAX_SMALL_CHUNKS = 65_536;
/** Part that comes back in a second: an eighth of the smallest machine's processor. */
const REFILL_PER_SECOND = 1 / 4;

/** Takes chunks of the budget; undefined if too few are left. */
export function takeSmallChunks(
	{chunks, atMs}: ChunkBudget,
	{
		wanted,
		nowMs,
		maxChunks,
	}: Readonly<{wanted: number; nowMs: number; maxChunks: number}>,
): ChunkBudget | undefined {
	const refilled = ((nowMs - atMs) / 1000) * maxChunks * REFILL_PER_SECOND;
	const left = Math.min(maxChunks, chunks + refilled) - wanted;
	return left < 0 ? undefined : {chunks: left, atMs: nowMs};
}
