import type {DetectionPolicy} from './policy.js';

const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const MIN_SAMPLES = 4;

/** Gaps between the chunks of one attempt, in milliseconds. */
export type GapStatistics = Readonly<{
	samples: number;
	meanMs: number;
	deviationMs: number;
}>;

/** No chunk seen yet. */
export const NO_GAP_STATISTICS: GapStatistics = {
	samples: 0,
	meanMs: 0,
	deviationMs: 0,
};

/** Adds one gap to the pace. */
export function addGap(pace: GapStatistics, gapMs: number): GapStatistics {
	if (pace.samples === 0) {
		return {samples: 1, meanMs: gapMs, deviationMs: gapMs / 2};
	}

	const error = gapMs - pace.meanMs;
	return {
		samples: Math.min(pace.samples + 1, MIN_SAMPLES),
		meanMs: pace.meanMs + MEAN_WEIGHT * error,
		deviationMs:
			pace.deviationMs +
			DEVIATION_WEIGHT * (Math.abs(error) - pace.deviationMs),
	};
}

/** Returns the silence that is still normal at this pace, in milliseconds. */
export function getMaxNormalSilenceMs(
	pace: GapStatistics,
	policy: DetectionPolicy,
): number {
	if (pace.samples < MIN_SAMPLES) {
		return policy.maximumSilenceMs;
	}

	const normal =
		pace.meanMs * policy.gapFactor + pace.deviationMs * policy.deviationFactor;
	return Math.min(
		policy.maximumSilenceMs,
		Math.max(policy.minimumSilenceMs, normal),
	);
}
