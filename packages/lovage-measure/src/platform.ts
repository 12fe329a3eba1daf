import {
	createQuarantine,
	stepQuarantine,
	summarizeQuarantine,
	type QuarantineEvent,
} from '@lovagevalve/quarantine';
import type {Clock} from './clock.js';
import {createEngine, type Engine} from './engine.js';
import type {Random} from './random.js';
import type {Deployment} from './scenario.js';

const REPORT_PERIOD_MS = 1000;
const REPORT_LAG_MS = [300, 1000] as const;
const CACHE_EVENT_LAG_MS = [500, 2000] as const;
/** Share of prefix cache events that are lost. */
const CACHE_EVENT_LOSS_SHARE = 0.1;
/** Time for the control group to commit a quarantine change. */
const QUORUM_LATENCY_MS = 5;

/** A load report as received by the entries. */
export type DelayedReport = Readonly<{
	incarnation: number;
	running: number;
	waiting: number;
	arrivedAt: number;
}>;

/** The engines, their load reports and the quarantine of the control group. */
export type Platform = ReturnType<typeof createPlatform>;

/** Creates the platform of a deployment. */
export function createPlatform(
	deployment: Deployment,
	clock: Clock,
	random: Random,
) {
	const reports = new Map<string, DelayedReport>();
	const listeners: Array<(id: string) => void> = [];
	const cached = new Map<string, Set<string>>();
	let quarantine = createQuarantine();
	let view = summarizeQuarantine(quarantine);

	const publishCache = (
		id: string,
		kind: 'stored' | 'evicted',
		family: string,
	) => {
		if (random.draw() < CACHE_EVENT_LOSS_SHARE) {
			return;
		}

		clock.schedule(random.between(...CACHE_EVENT_LAG_MS), () => {
			const known = cached.get(id)!;
			if (kind === 'stored') {
				known.add(family);
			} else {
				known.delete(family);
			}
		});
	};

	const engines = Array.from({length: deployment.engines}, (_, i): Engine => {
		const dataCentre =
			deployment.dataCentres[i % deployment.dataCentres.length]!;
		const id = `engine-${i}`;
		const rack = `${dataCentre}${Math.floor(i / deployment.dataCentres.length) % 2}`;
		const {capacity} = deployment;
		cached.set(id, new Set());
		return createEngine(
			{id, dataCentre, rack, capacity},
			clock,
			random,
			(kind, family) => {
				publishCache(id, kind, family);
			},
		);
	});

	const scheduleReport = (engine: Engine) => {
		clock.schedule(REPORT_PERIOD_MS, () => {
			scheduleReport(engine);
		});
		if (engine.getStatus() !== 'up') {
			return;
		}

		const load = engine.getLoad();
		const incarnation = engine.getIncarnation();
		clock.schedule(random.between(...REPORT_LAG_MS), () => {
			const arrivedAt = clock.now();
			reports.set(engine.id, {...load, incarnation, arrivedAt});
			listeners.forEach((listener) => {
				listener(engine.id);
			});
		});
	};

	engines.forEach((engine) => {
		reports.set(engine.id, {
			incarnation: 1,
			running: 0,
			waiting: 0,
			arrivedAt: 0,
		});
		clock.schedule(random.between(0, REPORT_PERIOD_MS), () => {
			scheduleReport(engine);
		});
	});

	const applyQuarantine = (event: QuarantineEvent) => {
		quarantine = stepQuarantine(quarantine, event).state;
		const next = summarizeQuarantine(quarantine);
		clock.schedule(QUORUM_LATENCY_MS, () => {
			view = next;
		});
	};

	const tickQuarantine = () => {
		applyQuarantine({kind: 'ticked', now: clock.now()});
		clock.schedule(REPORT_PERIOD_MS, tickQuarantine);
	};

	tickQuarantine();
	return {
		engines,
		byId: new Map(engines.map((engine) => [engine.id, engine])),
		getReport: (id: string) => reports.get(id)!,
		getCached: (id: string): ReadonlySet<string> => cached.get(id)!,
		onReport(listener: (id: string) => void) {
			listeners.push(listener);
		},
		readQuarantine: () => view,
		applyQuarantine,
	};
}
