/** Round of gossip; in each `period` of them all records are sent once. */
export type GossipRound = Readonly<{
	round: number;
	period: number;
}>;

/**
 * Records of one message, of which each has at most 4.2 KB as JSON. Usual deployments
 * have fewer, so that their first round sends all.
 */
const MIN_PART = 700;

/**
 * Selects the records of a round. All together may be more than a message between
 * instances holds, and would then never reach an instance that missed them.
 */
export function selectGossipPart<T>(
	records: readonly T[],
	{round, period}: GossipRound,
): readonly T[] {
	const size = Math.max(MIN_PART, Math.ceil(records.length / period));
	const start = (round % period) * size;
	return records.slice(start, start + size);
}
