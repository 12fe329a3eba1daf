import {
	addSpeeds,
	decaySpeeds,
	NO_SPEED,
	type ServiceSpeeds,
	type SpeedSnapshot,
	type SpeedSums,
	subtractSpeeds,
} from './server-speed.js';

/** Spread from which on the speeds differ clearly: less and today's choice by load evens it out. */
const DIFFERENT_RATIO = 1.5;
/** Spread under which they no longer do; lower, so that the choice doesn't alternate. */
const ALIKE_RATIO = 1.25;
/** Time for which speeds count as different after they last were. When servers swap speeds, what was measured before and after contradicts itself for two half-lives; when few requests come, there is too little to tell. */
const HOLD_MS = 10_000;
/** Standard deviations between the 10th and the 90th percentile of a normal distribution. */
const PERCENTILE_DISTANCE = 2.56;
/** Age at which a snapshot is replaced: half of the time within which speeds must be followed. */
const MAX_SNAPSHOT_MS = 2500;
/** Age from which on it is compared with; sums of other entries are a second old. */
const MIN_SNAPSHOT_MS = 1000;
/** Samples that the comparison needs over all backend servers of a service, before and after. */
const MIN_TOTAL_SAMPLES = 15;
/** Samples that it needs of each: one within the half-life. */
const MIN_SERVER_SAMPLES = 0.5;
/** Standard errors by which the correlation must exceed zero. It is tested several times in a second, by each entry. */
const MIN_STANDARD_ERRORS = 3;
/** Correlation that is always enough; of few servers, no other is. */
const SUFFICIENT_CORRELATION = 0.9;
/** Weight under which a backend server doesn't count for the median. */
const MIN_MEDIAN_SAMPLES = 0.25;

function findMedian(values: readonly number[]): number | undefined {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

/** Speeds of backend servers before and after, as logarithms. */
type SpeedPair = readonly [before: number, after: number];

/** Pairs what was measured up to a snapshot with what was measured since. */
function pairSpeeds(
	servers: ReadonlyMap<string, SpeedSums>,
	{at, sums}: SpeedSnapshot,
	now: number,
): readonly SpeedPair[] {
	const minSamples = Math.max(
		MIN_SERVER_SAMPLES,
		MIN_TOTAL_SAMPLES / Math.max(1, servers.size),
	);
	return [...servers].flatMap(([key, current]) => {
		const before = sums.get(key);
		if (before === undefined || before.samples < minSamples) {
			return [];
		}

		const after = subtractSpeeds(current, decaySpeeds(before, now - at));
		return after.samples < minSamples || after.ms <= 0 || after.work <= 0
			? []
			: [
					[
						Math.log(before.work / before.ms),
						Math.log(after.work / after.ms),
					] as const,
				];
	});
}

/**
 * Measures the spread of the speeds that lasts: the covariance of two times, which
 * share no samples, is the variance between the servers, while the noise of single
 * samples has no part in it, however few there are.
 */
function measureSpread(pairs: readonly SpeedPair[]): number {
	const count = pairs.length;
	if (count < 2) {
		return 1;
	}

	const meanBefore = sum(pairs.map(([before]) => before)) / count;
	const meanAfter = sum(pairs.map(([, after]) => after)) / count;
	const deviations = pairs.map(([before, after]): SpeedPair => [
		before - meanBefore,
		after - meanAfter,
	]);
	const covariance =
		sum(deviations.map(([before, after]) => before * after)) / (count - 1);
	const scale = Math.sqrt(
		(sum(deviations.map(([before]) => before ** 2)) / (count - 1)) *
			(sum(deviations.map(([, after]) => after ** 2)) / (count - 1)),
	);
	const required = Math.min(
		SUFFICIENT_CORRELATION,
		MIN_STANDARD_ERRORS / Math.sqrt(count - 1),
	);
	return covariance > 0 && covariance >= required * scale
		? Math.exp(PERCENTILE_DISTANCE * Math.sqrt(covariance))
		: 1;
}

/** Decides whether speeds differ clearly. */
function judgeSpread(
	spread: number,
	previous: ServiceSpeeds,
	now: number,
): Pick<ServiceSpeeds, 'spread' | 'areDifferent' | 'differentAt'> {
	const wereDifferent = previous.areDifferent;
	const isClear = spread >= (wereDifferent ? ALIKE_RATIO : DIFFERENT_RATIO);
	const differentAt = isClear ? now : previous.differentAt;
	return {
		spread,
		differentAt,
		areDifferent: isClear || (wereDifferent && now - differentAt < HOLD_MS),
	};
}

function compareWithSnapshot(
	servers: ReadonlyMap<string, SpeedSums>,
	previous: ServiceSpeeds | undefined,
	now: number,
): Pick<ServiceSpeeds, 'spread' | 'areDifferent' | 'differentAt' | 'snapshot'> {
	const latest: SpeedSnapshot = {at: now, sums: servers};
	if (previous === undefined) {
		return {
			spread: 1,
			areDifferent: false,
			differentAt: Number.NEGATIVE_INFINITY,
			snapshot: latest,
		};
	}

	const {snapshot} = previous;
	const ageMs = now - snapshot.at;
	const spread =
		ageMs < MIN_SNAPSHOT_MS
			? previous.spread
			: measureSpread(pairSpeeds(servers, snapshot, now));
	return {
		...judgeSpread(spread, previous, now),
		snapshot: ageMs < MAX_SNAPSHOT_MS ? snapshot : latest,
	};
}

/**
 * Assesses the backend servers of a service by the sums of all entries, by key, at the
 * time `now`, in milliseconds; `previous` is the assessment before.
 */
export function assessSpeeds(
	servers: ReadonlyMap<string, SpeedSums>,
	previous: ServiceSpeeds | undefined,
	now: number,
): ServiceSpeeds {
	const all = [...servers.values()];
	const known = all.filter(
		({samples, work}) => samples >= MIN_MEDIAN_SAMPLES && work > 0,
	);
	const total = known.reduce(addSpeeds, NO_SPEED);
	return {
		medianSpeed: findMedian(known.map(({work, ms}) => work / ms)),
		sampleMs: total.samples > 0 ? total.ms / total.samples : 0,
		medianEventMs: findMedian(
			all
				.filter(({events, eventsMs}) => events >= 1 && eventsMs > 0)
				.map(({events, eventsMs}) => eventsMs / events),
		),
		...compareWithSnapshot(servers, previous, now),
	};
}
