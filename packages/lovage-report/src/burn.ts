import {objectiveOf, type Objective, type Rules} from '@lovagevalve/inventory';
import type {Bucket} from './bucket.js';
import {EXTRA_CAUSES, type ExtraCause, type ResumeCause} from './events.js';
import {
	summariseLatencies,
	type LatencyCounts,
	type LatencySummary,
} from './latency-counts.js';
import {sumRing} from './ring.js';
import {createSeries, type Series} from './service-level.js';
import {mergeSeries, type ServiceLevelSnapshot} from './snapshot.js';
import {
	BUDGET_WINDOW,
	WINDOW_NAMES,
	WINDOWS,
	type WindowName,
} from './windows.js';

/** Upper bound of burn rates and shares; also stands for a division by zero. */
export const MAX_BURN_RATE = 1000;

/** Burn rates over one window. */
export type WindowBurn = Readonly<{
	window: WindowName;
	requests: number;
	/** Failed or refused requests, late first tokens and late resumes. */
	bad: number;
	/** Share of bad events divided by the share that the target allows. */
	latencyBurn: number;
	/** Share of extra use divided by the share that the objective allows. */
	useBurn: number;
	/** The one of the two rates that the objective's `weighs` selects. */
	burn: number;
}>;

/** Extra resource use for one cause. */
export type ExtraUse = Readonly<{
	cause: ExtraCause;
	amount: number;
	/** As a share of the regular work. */
	share: number;
}>;

/** Service level of one customer at a service, or of all its customers. */
export type LevelReport = Readonly<{
	windows: readonly WindowBurn[];
	/** Remaining share of the error budget; negative if it is exceeded. */
	budgetLeft: number;
	finished: number;
	failed: number;
	refused: number;
	rejected: number;
	lateFirstTokens: number;
	lateResumes: number;
	resumes: Readonly<Record<ResumeCause, number>>;
	resume?: LatencySummary;
	resumeMs: LatencyCounts;
	firstToken?: LatencySummary;
	work: number;
	extra: readonly ExtraUse[];
	extraAmount: number;
	extraShare: number;
}>;

/** Service level of one service. */
export type ServiceReport = Readonly<{
	service: string;
	objective: Objective;
	all: LevelReport;
	customers: ReadonlyArray<Readonly<{customer: string; level: LevelReport}>>;
}>;

/** Service level of all services. */
export type BurnReport = Readonly<{
	/** Wall-clock time in milliseconds. */
	now: number;
	/** Window of the error budget, the latencies and the extra use. */
	budgetWindow: WindowName;
	services: readonly ServiceReport[];
}>;

function divideCapped(amount: number, base: number): number {
	if (amount === 0) {
		return 0;
	}

	return Math.min(base === 0 ? MAX_BURN_RATE : amount / base, MAX_BURN_RATE);
}

function sumExtra(bucket: Bucket): number {
	return EXTRA_CAUSES.reduce((sum, cause) => sum + bucket.extra[cause], 0);
}

function computeWindow(
	series: Series,
	objective: Objective,
	window: WindowName,
	now: number,
): WindowBurn {
	const sum = sumRing(series.rings[window], WINDOWS[window], now);
	const bad = sum.failed + sum.refused + sum.lateFirstTokens + sum.lateResumes;
	const requests = sum.finished + sum.failed + sum.refused;
	const badShare = divideCapped(bad, Math.max(requests, bad));
	const latencyBurn = divideCapped(badShare, 1 - objective.target);
	const useShare = divideCapped(sumExtra(sum), sum.work);
	const useBurn = divideCapped(useShare, objective.extraUseShare);
	const burn = objective.weighs === 'resume-latency' ? latencyBurn : useBurn;
	return {window, requests, bad, latencyBurn, useBurn, burn};
}

function computeLevel(
	series: Series,
	objective: Objective,
	now: number,
): LevelReport {
	const windows = WINDOW_NAMES.map((window) =>
		computeWindow(series, objective, window, now),
	);
	const sum = sumRing(series.rings[BUDGET_WINDOW], WINDOWS[BUDGET_WINDOW], now);
	const budgetSpent = windows.find(
		({window}) => window === BUDGET_WINDOW,
	)!.burn;
	const extraAmount = sumExtra(sum);
	return {
		windows,
		budgetLeft: 1 - budgetSpent,
		finished: sum.finished,
		failed: sum.failed,
		refused: sum.refused,
		rejected: sum.rejected,
		lateFirstTokens: sum.lateFirstTokens,
		lateResumes: sum.lateResumes,
		resumes: sum.resumes,
		resume: summariseLatencies(sum.resumeMs),
		resumeMs: sum.resumeMs,
		firstToken: summariseLatencies(sum.firstTokenMs),
		work: sum.work,
		extra: EXTRA_CAUSES.map((cause) => ({
			cause,
			amount: sum.extra[cause],
			share: divideCapped(sum.extra[cause], sum.work),
		})),
		extraAmount,
		extraShare: divideCapped(extraAmount, sum.work),
	};
}

function computeService(
	service: string,
	series: readonly Series[],
	rules: Rules,
	now: number,
): ServiceReport {
	const objective = objectiveOf(rules, service);
	const all = series.reduce(mergeSeries, createSeries('', service));
	return {
		service,
		objective,
		all: computeLevel(all, objective, now),
		customers: series
			.toSorted((a, b) => a.customer.localeCompare(b.customer))
			.map((item) => ({
				customer: item.customer,
				level: computeLevel(item, objective, now),
			})),
	};
}

/** Computes the burn rates at the wall-clock time `now`. */
export function computeBurn(
	snapshot: ServiceLevelSnapshot,
	rules: Rules,
	now: number,
): BurnReport {
	const byService = new Map<string, Series[]>();
	snapshot.series.forEach((series) => {
		const found = byService.get(series.service) ?? [];
		byService.set(series.service, [...found, series]);
	});
	const services = [...byService]
		.toSorted(([a], [b]) => a.localeCompare(b))
		.map(([service, series]) => computeService(service, series, rules, now));
	return {now, budgetWindow: BUDGET_WINDOW, services};
}
