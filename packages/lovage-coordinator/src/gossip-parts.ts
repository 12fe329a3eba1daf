/** Round of gossip; within each period, all records are sent once. */
export type GossipRound = Readonly<{
	/** Number of the round since the start of the instance. */
	round: number;
	/** Length of a period, in rounds. */
	period: number;
}>;

/**
 * Least number of records in a part, of at most 4.2 KB each as JSON. Usual deployments
 * have fewer, so that one round of a period sends all of them.
 */
const MIN_PART_RECORDS = 700;

/**
 * Selects the records that a round sends. A message with all records may exceed the
 * size limit of messages between instances, which would refuse it in every round.
 */
export function selectGossipPart<T>(
	records: readonly T[],
	{round, period}: GossipRound,
): readonly T[] {
	const size = Math.max(MIN_PART_RECORDS, Math.ceil(records.length / period));
	const start = (round % period) * size;
	return records.slice(start, start + size);
}
