import type {RunResult} from './account.js';

/** Aggregated figures of the runs of one variant under one fault. */
export type Summary = Readonly<{
	deployment: string;
	fault: string;
	variant: string;
	runs: number;
	resumes: number;
	resumeMs: Percentiles;
	inPlace: number;
	inPlaceMs: Percentiles;
	firstTokenMs: Percentiles;
	/**
	 * Shares of the useful work. The extra share is the sum of the prefill and
	 * decode shares; the false share is its part due to false detections.
	 */
	extraShare: number;
	prefillShare: number;
	decodeShare: number;
	falseShare: number;
	falseDetections: number;
	/**
	 * Extra attempts that replaced no lost attempt, as a share of the requests.
	 */
	unneededAttempts: number;
	requests: number;
	finished: number;
	refused: Readonly<Record<string, number>>;
	notWhole: number;
	deadlineMisses: Readonly<Record<string, number>>;
	enginesLostToKiller: number;
	/**
	 * Runs in which the killer request crashed no more engines than the target.
	 */
	killersWithinTarget: number;
	killersConvicted: number;
	innocentsConvicted: number;
}>;

/** Percentiles of durations, in milliseconds. */
export type Percentiles = Readonly<{
	median: number;
	p95: number;
	p99: number;
	max: number;
}>;

/** Target for the engines that one killer request may crash. */
const KILLER_TARGET_ENGINES = 3;

function getPercentiles(values: readonly number[]): Percentiles {
	const sorted = values.toSorted((left, right) => left - right);
	const getPercentile = (share: number) =>
		Math.round(
			sorted[
				Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)
			] ?? 0,
		);
	return {
		median: getPercentile(0.5),
		p95: getPercentile(0.95),
		p99: getPercentile(0.99),
		max: getPercentile(1),
	};
}

function addCounts(
	counts: ReadonlyArray<Readonly<Record<string, number>>>,
): Readonly<Record<string, number>> {
	const sums = new Map<string, number>();
	counts
		.flatMap((countsOfRun) => Object.entries(countsOfRun))
		.forEach(([name, count]) => {
			sums.set(name, (sums.get(name) ?? 0) + count);
		});
	const sorted = [...sums].toSorted(([left], [right]) =>
		left < right ? -1 : 1,
	);
	return Object.fromEntries(sorted);
}

/** Aggregates the runs of one variant under one fault. */
export function summarise(
	names: Readonly<{deployment: string; fault: string; variant: string}>,
	results: readonly RunResult[],
): Summary {
	const sum = (read: (result: RunResult) => number) =>
		results.reduce((total, result) => total + read(result), 0);
	const useful = sum(({usefulTokens}) => usefulTokens);
	const prefill = sum(({recomputedPrefill}) => recomputedPrefill);
	const decode = sum(({wastedDecode}) => wastedDecode);
	const requests = sum((result) => result.requests);
	const unneededAttempts = sum((result) => {
		const first = result.requests - countUnstartedRequests(result);
		return Math.max(0, result.attempts - first - result.neededExtraAttempts);
	});
	return {
		...names,
		runs: results.length,
		resumes: sum(({resumeMs}) => resumeMs.length),
		resumeMs: getPercentiles(results.flatMap(({resumeMs}) => resumeMs)),
		inPlace: sum(({inPlaceMs}) => inPlaceMs.length),
		inPlaceMs: getPercentiles(results.flatMap(({inPlaceMs}) => inPlaceMs)),
		firstTokenMs: getPercentiles(
			results.flatMap(({firstTokenMs}) => firstTokenMs),
		),
		extraShare: (prefill + decode) / useful,
		prefillShare: prefill / useful,
		decodeShare: decode / useful,
		falseShare: sum(({falseDetections}) => falseDetections) / useful,
		falseDetections: sum(({falseDetectionCount}) => falseDetectionCount),
		unneededAttempts: unneededAttempts / requests,
		requests,
		finished: sum(({finished}) => finished),
		refused: addCounts(results.map(({refused}) => refused)),
		notWhole: sum(({notWhole}) => notWhole),
		deadlineMisses: addCounts(
			results.map(({deadlineMisses}) => deadlineMisses),
		),
		enginesLostToKiller: Math.max(
			...results.map(({enginesLostToKiller}) => enginesLostToKiller),
		),
		killersWithinTarget: results.filter(
			(result) => result.enginesLostToKiller <= KILLER_TARGET_ENGINES,
		).length,
		killersConvicted: results.filter(({isKillerConvicted}) => isKillerConvicted)
			.length,
		innocentsConvicted: sum(({innocentsConvicted}) => innocentsConvicted),
	};
}

function countUnstartedRequests(result: RunResult): number {
	const {refused} = result;
	return (
		(refused['no-backend-server'] ?? 0) + (refused['deadline-passed'] ?? 0)
	);
}
