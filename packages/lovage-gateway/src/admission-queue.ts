import {
	decideStarts,
	NO_STARTS,
	recordArrival,
	type StartDecision,
	type StartEngine,
	type StartInput,
	type StartRequest,
	type StartState,
} from '@lovagevalve/admission/starts';
import {
	type BackendRecord,
	type PlacementRequest,
	readSoftwareVersion,
} from '@lovagevalve/dispatch';
import type {EngineLimits} from '@lovagevalve/routing';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {BackendView} from './backend-view.js';
import type {EngineCandidate} from './backend-choice.js';
import type {EngineLoads} from './engine-loads.js';

/** What a stream needs and what its caller is owed. */
export type QueuedStream = Pick<
	StartRequest,
	| 'id'
	| 'priority'
	| 'customer'
	| 'arrivedAt'
	| 'targetAt'
	| 'deadlineAt'
	| 'resumedAfterMs'
> &
	Readonly<{
		placement: PlacementRequest;
		onStart: (backend: BackendRecord) => void;
		onRefused: (reason: string, retryAfterMs: number) => void;
		/** No engine that may run it is known. */
		onUnplaceable: () => void;
	}>;

/** Streams that wait at this entry for room at the engines of one service. */
export type AdmissionQueue = Readonly<{
	/** Waits, or starts at once; the returned function ends the wait. */
	enqueue: (stream: QueuedStream) => () => void;
	/** Starts and refuses what it can by now. */
	evaluate: () => void;
	/** Refuses what waits and has not run, as the entry drains. */
	refuseAll: () => void;
	/** Prompt tokens that wait, by priority. */
	readWaitingTokens: () => ReadonlyMap<number, number>;
	countWaiting: () => number;
}>;

/** Dependencies of a queue. */
export type AdmissionQueueOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	random: () => number;
	dataCentre: string;
	service: string;
	loads: EngineLoads;
	readEngine: () => EngineLimits | undefined;
	listCandidates: BackendView['listCandidates'];
	listRegistered: BackendView['listRegistered'];
	/** Learned speed of an engine; undefined while it isn't known. */
	readTokensPerMs: (backend: BackendRecord) => number | undefined;
	readRank: () => Readonly<{rank: number; instances: number}>;
	/** Prompt tokens that wait at the other entries, by priority. */
	readOthersWaiting: () => readonly number[];
}>;

/** Interval of decisions while something waits: a hundredth of a short latency target. */
const EVALUATION_INTERVAL_MS = 20;
/** `Retry-After` of streams that a draining entry refuses: others serve them at once. */
const DRAIN_RETRY_AFTER_MS = 50;

type Waiting = Readonly<{stream: QueuedStream; request: StartRequest}>;
type Ending = Readonly<{
	outcome: 'started' | 'refused' | 'left' | 'unplaceable';
	position?: number;
	engine?: string;
	reason?: string;
	retryAfterMs?: number;
	estimatedMs?: number;
}>;

/** Prefers engines that answer and did not fail lately, if there are any. */
function keepHealthy(
	candidates: readonly EngineCandidate[],
): readonly EngineCandidate[] {
	const healthy = candidates.filter(
		({candidate}) => candidate.isResponsive && !candidate.isAvoided,
	);
	return healthy.length > 0 ? healthy : candidates;
}

/** Creates an empty queue. */
export function createAdmissionQueue(
	options: AdmissionQueueOptions,
): AdmissionQueue {
	const {clock, log, metrics, service, loads} = options;
	const waiting = new Map<string, Waiting>();
	let state: StartState = NO_STARTS;
	let arrivals = 0;
	let isEvaluating = false;
	let mustRepeat = false;
	let timer: NodeJS.Timeout | undefined;

	const listEngines = (
		limits: EngineLimits,
		positions: ReadonlyMap<string, number>,
		candidates: readonly EngineCandidate[],
	): readonly StartEngine[] =>
		candidates.map(({record, candidate}) => {
			const {id, ownLoad, othersLoad} = candidate;
			const recentStarts = loads.countRecentStarts(id);
			const unreportedEnds = loads.countUnreportedEnds(id);
			const running = ownLoad.running + othersLoad.running;
			const prefillTokens = ownLoad.prefillTokens + othersLoad.prefillTokens;
			return {
				id,
				dataCentre: record.dataCentre,
				softwareVersion: readSoftwareVersion(record),
				position: positions.get(record.address) ?? 0,
				slots: limits.slots,
				memoryTokens: limits.memoryTokens,
				running,
				usedTokens: ownLoad.memoryTokens + othersLoad.memoryTokens,
				prefillTokens,
				recentStarts,
				unreportedEnds,
				unchangedMs: loads.readUnchangedMs(id, {
					running: running - recentStarts + unreportedEnds,
					prefillTokens,
				}),
				tokensPerMs: options.readTokensPerMs(record),
			};
		});

	const createInput = (
		limits: EngineLimits,
		candidates: readonly EngineCandidate[],
	): StartInput => {
		const addresses = [
			...new Set(options.listRegistered(service).map(({address}) => address)),
		].toSorted();
		const positions = new Map(addresses.map((address, i) => [address, i]));
		return {
			waiting: [...waiting.values()].map(({request}) => request),
			engines: listEngines(limits, positions, candidates),
			positions: addresses.length,
			dataCentre: options.dataCentre,
			...options.readRank(),
			othersWaiting: options.readOthersWaiting(),
			tokensPerMs: loads.readTokensPerMs(),
			holdMs: loads.readHoldMs(),
			now: clock.now(),
			random: options.random(),
		};
	};

	/** Removes what no longer waits; undefined if it has left meanwhile. */
	const take = (id: string, ending: Ending): QueuedStream | undefined => {
		const entry = waiting.get(id);
		if (entry === undefined) {
			return undefined;
		}

		const position = [...waiting.keys()].indexOf(id);
		waiting.delete(id);
		if (waiting.size === 0) {
			clearInterval(timer);
			timer = undefined;
		}

		const waitedMs = Math.round(clock.now() - entry.stream.arrivedAt);
		metrics.count('admission_ended', {outcome: ending.outcome});
		if (ending.outcome !== 'started' || entry.stream.arrivedAt < clock.now()) {
			log.info('A stream no longer waits for room at an engine.', {
				request: id,
				service,
				priority: entry.stream.priority,
				waitedMs,
				position,
				waiting: waiting.size,
				...ending,
			});
		}

		return entry.stream;
	};

	const apply = (
		decision: StartDecision,
		candidates: readonly EngineCandidate[],
	): void => {
		const started = decision.starts.map(({id, engine}) => ({
			stream: take(id, {outcome: 'started', engine}),
			record: candidates.find(({record}) => record.id === engine)!.record,
		}));
		const refused = decision.refusals.map(
			({id, reason, retryAfterMs, waitMs}) => ({
				stream: take(id, {
					outcome: 'refused',
					reason,
					retryAfterMs: Math.round(retryAfterMs),
					...(waitMs === undefined ? {} : {estimatedMs: Math.round(waitMs)}),
				}),
				reason,
				retryAfterMs,
			}),
		);
		const unplaceable = decision.unplaceable.map((id) =>
			take(id, {outcome: 'unplaceable'}),
		);
		started.forEach(({stream, record}) => stream?.onStart(record));
		refused.forEach(({stream, reason, retryAfterMs}) =>
			stream?.onRefused(reason, retryAfterMs),
		);
		unplaceable.forEach((stream) => stream?.onUnplaceable());
	};

	const evaluateOnce = (): void => {
		const limits = options.readEngine();
		const candidates = keepHealthy(options.listCandidates(service));
		if (limits === undefined) {
			[...waiting.keys()].forEach((id) => {
				take(id, {outcome: 'unplaceable'})?.onUnplaceable();
			});
			return;
		}

		const decision = decideStarts(state, createInput(limits, candidates));
		state = decision.state;
		apply(decision, candidates);
	};

	/** What a start or refusal calls may add to the queue or release a slot. */
	const evaluate = (): void => {
		if (isEvaluating) {
			mustRepeat = true;
			return;
		}

		isEvaluating = true;
		try {
			do {
				mustRepeat = false;
				if (waiting.size > 0) {
					evaluateOnce();
				}
			} while (mustRepeat);
		} finally {
			isEvaluating = false;
		}
	};

	return {
		enqueue(stream) {
			const {placement, onStart, onRefused, onUnplaceable, ...fields} = stream;
			// Two requests may carry the same id.
			const id = `${arrivals}/${stream.id}`;
			const request: StartRequest = {
				...fields,
				id,
				order: arrivals,
				promptTokens: placement.promptTokens,
				memoryTokens: placement.memoryTokens,
				excluded: placement.excluded,
				failedDataCentres: placement.failedDataCentres,
				softwareVersion: placement.softwareVersion,
			};
			arrivals += 1;
			state = recordArrival(state, request);
			waiting.set(id, {stream, request});
			timer ??= setInterval(evaluate, EVALUATION_INTERVAL_MS);
			evaluate();
			return () => {
				take(id, {outcome: 'left'});
			};
		},
		evaluate,
		refuseAll() {
			[...waiting.values()]
				.filter(({request}) => request.resumedAfterMs === undefined)
				.forEach(({request}) => {
					const reason = 'the entry drains';
					take(request.id, {outcome: 'refused', reason})?.onRefused(
						reason,
						DRAIN_RETRY_AFTER_MS,
					);
				});
		},
		readWaitingTokens() {
			const tokens = new Map<number, number>();
			waiting.forEach(({request}) => {
				const {priority, promptTokens, resumedAfterMs} = request;
				// Resumed streams start before all others.
				const key = resumedAfterMs === undefined ? priority : 0;
				tokens.set(key, (tokens.get(key) ?? 0) + promptTokens);
			});
			return tokens;
		},
		countWaiting: () => waiting.size,
	};
}
