import {
	decideStarts,
	NO_STARTS,
	recordArrival,
	type StartDecision,
	type StartInput,
	type StartRequest,
	type StartState,
} from '@lovagevalve/admission/starts';
import type {BackendRecord, PlacementRequest} from '@lovagevalve/dispatch';
import type {EngineLimits} from '@lovagevalve/routing';
import type {Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {BackendView} from './backend-view.js';
import type {EngineCandidate} from './backend-choice.js';
import {
	createEngineInputs,
	type EngineInputsOptions,
	keepHealthy,
} from './engine-inputs.js';

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
export type AdmissionQueueOptions = EngineInputsOptions &
	Readonly<{
		log: Logger;
		metrics: PrometheusMetrics;
		random: () => number;
		dataCentre: string;
		readEngine: () => EngineLimits | undefined;
		listCandidates: BackendView['listCandidates'];
		readRank: () => Readonly<{rank: number; instances: number}>;
		/** Prompt tokens that wait at the other entries, by priority. */
		readOthersWaiting: () => readonly number[];
		/** Ranks of the entries at which work waits; undefined if not known. */
		readWaitingRanks: () => readonly number[] | undefined;
	}>;

/**
 * Interval of decisions while something waits, besides those at arrivals, ends and
 * reports: only refusals and offers of free slots depend on the time, and a decision
 * looks at each engine.
 */
const EVALUATION_INTERVAL_MS = 200;
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

	const describeEngines = createEngineInputs(options);

	const createInput = (
		limits: EngineLimits,
		candidates: readonly EngineCandidate[],
	): StartInput => ({
		waiting: [...waiting.values()].map(({request}) => request),
		...describeEngines(limits, candidates),
		dataCentre: options.dataCentre,
		...options.readRank(),
		othersWaiting: options.readOthersWaiting(),
		waitingRanks: options.readWaitingRanks(),
		tokensPerMs: loads.readTokensPerMs(),
		holdMs: loads.readHoldMs(),
		now: clock.now(),
		random: options.random(),
	});

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
