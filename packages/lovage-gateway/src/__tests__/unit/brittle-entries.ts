import {
	addLoad,
	type AgedRecord,
	type BackendLoad,
	type LimitReport,
	type LimitReports,
	toCompactLoads,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';
import {type BackendView, createBackendView} from '../../backend-view.js';
import {
	type BrittleBackends,
	createBrittleBackends,
} from '../../brittle-backends.js';
import {
	createTestLimits,
	silentLogger,
	silentMetrics,
} from '../integration/harness.js';

/** An entry in simulated time. */
export type SimulatedEntry = Readonly<{
	rank: number;
	view: BackendView;
	brittle: BrittleBackends;
	/** Part of the report interval at which it reports, in [0, 1). */
	phase: number;
	counts: {sent: number; served: number};
}>;

type Report = Readonly<{
	loads: Readonly<Record<string, BackendLoad>>;
	brittle: LimitReports;
	at: number;
}>;

/** Creates entries that know nothing. */
export function createSimulatedEntries(
	count: number,
	clock: Clock,
	random: () => number,
): readonly SimulatedEntry[] {
	return Array.from({length: count}, (_, rank) => {
		const brittle = createBrittleBackends({
			clock,
			log: silentLogger,
			metrics: silentMetrics,
			random,
			countEntries: () => count,
		});
		const view = createBackendView({
			clock,
			log: silentLogger,
			metrics: silentMetrics,
			registrationIntervalMs: 60_000,
			limits: createTestLimits(clock),
			brittle,
			readRank: () => ({rank, instances: count}),
			onUnreachable: () => undefined,
		});
		return {
			rank,
			view,
			brittle,
			phase: random(),
			counts: {sent: 0, served: 0},
		};
	});
}

function sumLoads(
	reports: readonly Report[],
): Readonly<Record<string, BackendLoad>> {
	const sums = new Map<string, BackendLoad>();
	reports.forEach(({loads}) => {
		Object.entries(loads).forEach(([id, load]) => {
			const known = sums.get(id);
			sums.set(id, known === undefined ? load : addLoad(known, load));
		});
	});
	return Object.fromEntries(sums);
}

/** Newest statements, with the rejections that the entries in `others` have seen. */
function mergeStatements(
	reports: readonly Report[],
	others: readonly Report[],
	now: number,
): LimitReports {
	const merged = new Map<string, LimitReport>();
	reports.forEach((report) => {
		Object.entries(report.brittle).forEach(([key, statement]) => {
			const before = merged.get(key);
			const ageMs = statement.ageMs + now - report.at;
			merged.set(key, {
				...statement,
				ageMs: Math.min(ageMs, before?.ageMs ?? ageMs),
				sent:
					(before?.sent ?? 0) + (others.includes(report) ? statement.sent : 0),
			});
		});
	});
	return Object.fromEntries(merged);
}

/** Creates what entries tell each other through one control instance. */
export function createExchange(
	clock: Clock,
	entryCount: number,
): (entry: SimulatedEntry, backends: readonly AgedRecord[]) => void {
	const reports = new Map<number, Report>();
	return ({rank, view, brittle}, backends) => {
		const at = clock.now();
		const own = {
			loads: view.readOwnLoads(),
			brittle: brittle.createReport(),
			at,
		};
		reports.set(rank, own);
		const all = [...reports.values()];
		const others = all.filter((report) => report !== own);
		view.applyReport({
			version: 1,
			controls: [],
			entries: entryCount,
			known: {epoch: 1, revision: 1},
			backends,
			convicted: [],
			overview: {
				loads: toCompactLoads(sumLoads(others)),
				retries: {},
				brittle: mergeStatements(all, others, at),
			},
		});
	};
}
