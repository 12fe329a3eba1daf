import {
	addLoad,
	type BackendLoad,
	type BackendRecord,
	encodeRanks,
	NO_LOAD,
	subtractLoad,
} from '@lovagevalve/dispatch';
import {vi} from 'vitest';
import {type Admission, createAdmission} from '../../admission.js';
import {createLoadReservations} from '../../load-reservations.js';
import {silentLogger, silentMetrics} from '../integration/harness.js';

/** Kind of streams that callers send. */
export type Kind = Readonly<{
	priority: number;
	perSecond: number;
	latencyTargetMs: number;
	promptTokens: number;
	outputTokens: number;
}>;

/** Fate of the streams of one kind. */
export type Tally = {
	arrived: number;
	onTime: number;
	late: number;
	refused: number;
	retryAfterMs: number[];
};

/** Size of a simulated deployment. */
export type Load = Readonly<{
	entries: number;
	engines: number;
	slots: number;
	memoryTokens: number;
	tokensPerMs: number;
	/** Time from the first event to the end. */
	outputMs: number;
	kinds: readonly Kind[];
	runMs: number;
	/** Time before which nothing is counted. */
	warmUpMs: number;
	/** Time at the end in which arrivals aren't counted, as their fate is open. */
	coolDownMs: number;
	seed: number;
}>;

/** What a simulation counts after its warm-up. */
export type Outcome = Readonly<{
	kinds: readonly Tally[];
	starts: number;
	/** Starts at an engine whose slots or memory were taken. */
	doubled: number;
	/** Part of the slots that were free while streams waited. */
	idleShare: number;
}>;

const REPORT_MS = 200;
const SAMPLE_MS = 20;
const ENGINE_LIMITS = {canBackUp: false, canCopy: false};

function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (Math.imul(state, 1_664_525) + 1_013_904_223) % 4_294_967_296;
		return (state < 0 ? state + 4_294_967_296 : state) / 4_294_967_296;
	};
}

type Report = Readonly<{
	loads: Readonly<Record<string, BackendLoad>>;
	waiting: Readonly<Record<string, number>>;
}>;

type Prompt = Readonly<{
	priority: number;
	promptTokens: number;
	memoryTokens: number;
	/** Sends the first event; the prompt is processed. */
	onFirstEvent: () => void;
	onEnd: () => void;
}>;

type Engine = {
	record: BackendRecord;
	/** Requests that entries have sent, whether admitted or not. */
	running: number;
	usedTokens: number;
	admitted: number;
	admittedTokens: number;
	isBusy: boolean;
	/** Sent and not admitted, in the order of arrival. */
	queued: Prompt[];
};

/** Simulates entries, engines and reports of which each entry knows the last. */
export function simulateLoad(load: Load): Outcome {
	vi.useFakeTimers({now: 0});
	const random = createRandom(load.seed);
	const now = () => Date.now();
	const startAt = now();
	const isCounted = (): boolean => now() - startAt >= load.warmUpMs;
	const service = {
		name: 's',
		maxConnections: 100,
		engine: {
			...ENGINE_LIMITS,
			slots: load.slots,
			memoryTokens: load.memoryTokens,
		},
	};
	const engines = new Map(
		Array.from({length: load.engines}, (_, i): [string, Engine] => [
			`e-${i}`,
			{
				record: {
					id: `e-${i}`,
					service: 's',
					address: `10.0.0.${i}:1`,
					dataCentre: 'a',
					state: 'ready',
					slots: load.slots,
					bornAt: 1,
					sequence: 1,
					heardAt: 0,
				},
				running: 0,
				usedTokens: 0,
				admitted: 0,
				admittedTokens: 0,
				isBusy: false,
				queued: [],
			},
		]),
	);
	const records = [...engines.values()].map(({record}) => record);
	const reports = new Map<number, Report>();
	const kinds = load.kinds.map((): Tally => ({
		arrived: 0,
		onTime: 0,
		late: 0,
		refused: 0,
		retryAfterMs: [],
	}));
	let starts = 0;
	let doubled = 0;

	const loadSums = new Map<string, BackendLoad>();
	const waitingSums = new Map<string, number>();
	const noReport: Report = {loads: {}, waiting: {}};

	/** Replaces a report and returns the sums of the other ones. */
	const exchange = (entry: number, report: Report) => {
		const previous = reports.get(entry) ?? noReport;
		reports.set(entry, report);
		[previous, report].forEach(({loads, waiting}, i) => {
			Object.entries(loads).forEach(([id, part]) => {
				const sum = loadSums.get(id) ?? NO_LOAD;
				loadSums.set(
					id,
					i === 0 ? subtractLoad(sum, part) : addLoad(sum, part),
				);
			});
			Object.entries(waiting).forEach(([key, tokens]) => {
				const sum = waitingSums.get(key) ?? 0;
				waitingSums.set(key, i === 0 ? sum - tokens : sum + tokens);
			});
		});
		return {
			loads: new Map(
				[...loadSums].map(([id, sum]) => [
					id,
					subtractLoad(sum, report.loads[id] ?? NO_LOAD),
				]),
			),
			waitingRanks: Array.from(
				{length: load.entries},
				(_, rank) => Object.keys(reports.get(rank)?.waiting ?? {}).length > 0,
			),
			waiting: Object.fromEntries(
				[...waitingSums].map(([key, sum]) => [
					key,
					sum - (report.waiting[key] ?? 0),
				]),
			),
		};
	};

	const createEntry = (rank: number): Admission => {
		const own = createLoadReservations();
		let others: ReadonlyMap<string, BackendLoad> = new Map();
		const readOthers = (id: string): BackendLoad => others.get(id) ?? NO_LOAD;

		const admission = createAdmission({
			clock: {now, wall: now},
			log: silentLogger,
			metrics: silentMetrics,
			random,
			dataCentre: 'a',
			readRank: () => ({rank, instances: load.entries}),
			readTokensPerMs: () => undefined,
			view: {
				listCandidates: () =>
					records.map((record) => ({
						record,
						isLimited: false,
						candidate: {
							...record,
							ownLoad: own.read(record.id),
							othersLoad: readOthers(record.id),
							isResponsive: true,
							isAvoided: false,
						},
					})),
				listRegistered: () => records,
				hasBrittle: () => false,
				find: (id) => engines.get(id)?.record,
				reserve: own.reserve,
				readLoad: (id) => addLoad(own.read(id), readOthers(id)),
			},
		});
		setTimeout(
			() => {
				setInterval(() => {
					const answer = exchange(rank, {
						loads: own.readAll(),
						waiting: admission.createReport() ?? {},
					});
					others = answer.loads;
					admission.applyReport({
						loads: {},
						retries: {},
						waiting: answer.waiting,
						waitingRanks: encodeRanks(answer.waitingRanks),
					});
				}, REPORT_MS);
			},
			(rank * REPORT_MS) / load.entries,
		);
		return admission;
	};

	/** Admits and processes the most urgent prompt that fits; one at a time. */
	const processNext = (engine: Engine): void => {
		const [prompt] = engine.queued
			.filter(
				({memoryTokens}) =>
					engine.admitted < load.slots &&
					engine.admittedTokens + memoryTokens <= load.memoryTokens,
			)
			.toSorted((a, b) => a.priority - b.priority);
		if (engine.isBusy || prompt === undefined) {
			return;
		}

		engine.queued.splice(engine.queued.indexOf(prompt), 1);
		engine.isBusy = true;
		engine.admitted += 1;
		engine.admittedTokens += prompt.memoryTokens;
		setTimeout(() => {
			engine.isBusy = false;
			prompt.onFirstEvent();
			setTimeout(
				() => {
					engine.admitted -= 1;
					engine.admittedTokens -= prompt.memoryTokens;
					prompt.onEnd();
					processNext(engine);
				},
				load.outputMs * (0.8 + 0.4 * random()),
			);
			processNext(engine);
		}, prompt.promptTokens / load.tokensPerMs);
	};

	const entries = Array.from({length: load.entries}, (_, i) => createEntry(i));
	const arrive = (index: number): void => {
		const kind = load.kinds[index]!;
		const tally = kinds[index]!;
		const arrivedAt = now();
		const counts =
			isCounted() && now() - startAt < load.runMs - load.coolDownMs;
		const {promptTokens, priority} = kind;
		const memoryTokens = promptTokens + kind.outputTokens;
		const placement = {
			dataCentre: 'a',
			promptTokens,
			memoryTokens,
			excluded: [],
			failedDataCentres: [],
		};
		const admission = entries[Math.floor(random() * load.entries)]!;
		tally.arrived += counts ? 1 : 0;
		admission.enqueue(service, {
			id: 'r',
			priority,
			customer: '',
			arrivedAt,
			targetAt: arrivedAt + kind.latencyTargetMs,
			deadlineAt: arrivedAt + 25_000,
			placement,
			onStart({id}) {
				const engine = engines.get(id)!;
				const reservation = admission.reserve(engine.record, placement);
				engine.running += 1;
				engine.usedTokens += memoryTokens;
				const isFull =
					engine.running > load.slots || engine.usedTokens > load.memoryTokens;
				if (isCounted()) {
					starts += 1;
					doubled += isFull ? 1 : 0;
				}

				engine.queued.push({
					priority,
					promptTokens,
					memoryTokens,
					onFirstEvent() {
						reservation.markPrefilled();
						if (counts) {
							const isOnTime = now() - arrivedAt <= kind.latencyTargetMs;
							tally.onTime += isOnTime ? 1 : 0;
							tally.late += isOnTime ? 0 : 1;
						}
					},
					onEnd() {
						engine.running -= 1;
						engine.usedTokens -= memoryTokens;
						reservation.release();
					},
				});
				processNext(engine);
			},
			onRefused(_, retryAfterMs) {
				if (counts) {
					tally.refused += 1;
					tally.retryAfterMs.push(retryAfterMs);
				}
			},
			onUnplaceable: () => undefined,
		});
	};

	const schedule = (index: number): void => {
		const pauseMs =
			-Math.log(1 - random()) * (1000 / load.kinds[index]!.perSecond);
		setTimeout(() => {
			arrive(index);
			schedule(index);
		}, pauseMs);
	};

	load.kinds.forEach((_, index) => {
		schedule(index);
	});
	let free = 0;
	let sampled = 0;
	setInterval(() => {
		const hasWaiting = [...reports.values()].some(
			({waiting}) => Object.keys(waiting).length > 0,
		);
		if (isCounted() && hasWaiting) {
			const units = Math.min(
				load.slots,
				Math.floor(
					load.memoryTokens /
						(load.kinds[0]!.promptTokens + load.kinds[0]!.outputTokens),
				),
			);
			engines.forEach(({running}) => {
				sampled += units;
				free += Math.max(0, units - running);
			});
		}
	}, SAMPLE_MS);
	vi.advanceTimersByTime(load.runMs);
	vi.clearAllTimers();
	vi.useRealTimers();
	return {kinds, starts, doubled, idleShare: free / Math.max(1, sampled)};
}
