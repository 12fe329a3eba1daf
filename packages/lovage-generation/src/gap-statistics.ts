import type {DetectionPolicy} from './policy.js';

// Moving averages of the mean and the mean deviation, with the weights and the
// first sample of TCP's retransmission timer (RFC 6298).
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Below this, `maximumSilenceMs` applies instead of the estimate. */
const MIN_SAMPLES = 4;

/** Estimate of the gaps between the chunks of one attempt, in milliseconds. */
export type GapStatistics = Readonly<{
	/** Number of gaps seen, counted up to `MIN_SAMPLES`. */
	samples: number;
	meanMs: number;
	deviationMs: number;
}>;

/** Statistics before the first gap. */
export const NO_GAP_STATISTICS: GapStatistics = {
	samples: 0,
	meanMs: 0,
	deviationMs: 0,
};

/** Updates the statistics with one gap. */
export function addGap(
	statistics: GapStatistics,
	gapMs: number,
): GapStatistics {
	if (statistics.samples === 0) {
		return {samples: 1, meanMs: gapMs, deviationMs: gapMs / 2};
	}

	const error = gapMs - statistics.meanMs;
	return {
		samples: Math.min(statistics.samples + 1, MIN_SAMPLES),
		meanMs: statistics.meanMs + MEAN_WEIGHT * error,
		deviationMs:
			statistics.deviationMs +
			DEVIATION_WEIGHT * (Math.abs(error) - statistics.deviationMs),
	};
}

/** Returns how long a silence is still normal, in milliseconds. */
export function getMaxNormalSilenceMs(
	statistics: GapStatistics,
	policy: DetectionPolicy,
): number {
	if (statistics.samples < MIN_SAMPLES) {
		return policy.maximumSilenceMs;
	}

	const normal =
		statistics.meanMs * policy.gapFactor +
		statistics.deviationMs * policy.deviationFactor;
	return Math.min(
		policy.maximumSilenceMs,
		Math.max(policy.minimumSilenceMs, normal),
	);
}
