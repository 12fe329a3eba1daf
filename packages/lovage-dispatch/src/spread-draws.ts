/**
 * Draws of one instance for the backend servers of a service. Consecutive draws are
 * spread evenly over [0, 1), so that an instance with a chance of a third at each of
 * three backend servers has room at one of them, instead of none in three cases of
 * ten. Between instances the draws are independent.
 */
export type SpreadDraws = Readonly<{
	/** The last draw that was added to a hand. */
	last: number;
	/** Draws that are left for the backend servers until the next reports. */
	hand: readonly number[];
}>;

/** Multiples of it, modulo 1, are spread evenly however many are taken. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/** Creates the draws of an instance; `start` is in [0, 1) and differs between instances. */
export function createSpreadDraws(start: number): SpreadDraws {
	return {last: start, hand: []};
}

/** Takes back the draws that were not dealt. */
export function clearHand({last}: SpreadDraws): SpreadDraws {
	return {last, hand: []};
}

/**
 * Deals a draw for one of `backends` backend servers. Which of the hand it is goes by
 * `random`, in [0, 1), so that no backend server gets low ones again and again.
 */
export function dealDraw(
	{last, hand}: SpreadDraws,
	backends: number,
	random: number,
): Readonly<{draw: number; draws: SpreadDraws}> {
	const full =
		hand.length > 0
			? hand
			: Array.from(
					{length: Math.max(1, backends)},
					(_, index) => (last + (index + 1) * GOLDEN_RATIO) % 1,
				);
	const chosen = Math.floor(random * full.length);
	return {
		draw: full[chosen]!,
		draws: {
			last: hand.length > 0 ? last : full.at(-1)!,
			hand: full.toSpliced(chosen, 1),
		},
	};
}
