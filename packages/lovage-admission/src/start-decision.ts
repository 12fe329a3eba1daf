import {
	applyOldestTurn,
	isLate,
	orderRequests,
	recordStarted,
} from './start-order.js';
import {
	addStart,
	countFree,
	countStartable,
	countUnseen,
	countUnits,
	createLoads,
	type EngineLoad,
	overtakes,
} from './start-room.js';
import {chooseEngine, chooseKept, mayRun} from './start-rule.js';
import type {
	StartDecision,
	StartInput,
	StartRefusal,
	StartRequest,
	StartState,
} from './start-types.js';
import {
	computeRetryAfterMs,
	computeThroughput,
	estimateWaitMs,
	findRefusal,
	sumOthers,
} from './start-wait.js';

/**
 * Requests that wait at one entry for a service at most: some seconds of the starts of
 * hundreds of engines; further ones could not be on time.
 */
const MAX_WAITING = 256;
/**
 * Part of the time until its target after which memory is kept for a request that only
 * lacks memory: smaller ones would take what becomes free for ever.
 */
const KEEP_SHARE = 0.25;
/** Step between successive draws from one random number: the golden ratio. */
const DRAW_STEP = 0.618_033_988_749_894_9;

function draw(random: number, index: number): number {
	return (random + index * DRAW_STEP) % 1;
}

/** Whether a request has waited for long, and smaller ones would take the memory that it lacks. */
function shouldKeep(
	request: StartRequest,
	loads: readonly EngineLoad[],
	{now, waiting}: StartInput,
): boolean {
	const {arrivedAt, targetAt, memoryTokens} = request;
	const smallest = Math.min(...waiting.map((other) => other.memoryTokens));
	return (
		smallest < memoryTokens &&
		now - arrivedAt > (targetAt - arrivedAt) * KEEP_SHARE &&
		!loads.some((load) => countFree(load, memoryTokens) > 0)
	);
}

/** Whether a request can't start as one that asks for no more has found no engine. */
function isHopeless(
	request: StartRequest,
	lacking: StartRequest | undefined,
	input: StartInput,
): boolean {
	return (
		lacking !== undefined &&
		request.resumedAfterMs === undefined &&
		request.priority >= lacking.priority &&
		request.targetAt <= lacking.targetAt &&
		request.promptTokens >= lacking.promptTokens &&
		request.memoryTokens >= lacking.memoryTokens &&
		(!isLate(request, input) ||
			(isLate(lacking, input) && request.deadlineAt <= lacking.deadlineAt))
	);
}

type Starts = Readonly<{
	state: StartState;
	starts: ReadonlyArray<Readonly<{id: string; engine: string}>>;
	/** Requests that wait on, in order. */
	stuck: readonly StartRequest[];
}>;

/** Starts what has room, in order. */
function startQueued(
	initial: StartState,
	requests: readonly StartRequest[],
	loads: readonly EngineLoad[],
	input: StartInput,
): Starts {
	const meanPrompt =
		requests.reduce((sum, {promptTokens}) => sum + promptTokens, 0) /
		Math.max(1, requests.length);
	const waitingElsewhere =
		input.othersWaiting.reduce((sum, tokens) => sum + tokens, 0) /
		Math.max(1, meanPrompt);
	const unseen = countUnseen(input, waitingElsewhere);
	const starts: Array<Readonly<{id: string; engine: string}>> = [];
	const stuck: StartRequest[] = [];
	const kept = new Set<string>();
	let state = initial;
	/** First request that found no engine although it may run at any. */
	let lacking: StartRequest | undefined;
	const order = (rest: readonly StartRequest[]): StartRequest[] => [
		...applyOldestTurn(state, orderRequests(state, rest, input), input),
	];
	let queue = order(requests);
	while (queue.length > 0) {
		const request = queue.shift()!;
		const load = isHopeless(request, lacking, input)
			? undefined
			: chooseEngine(
					loads,
					request,
					{state, input, unseen, kept},
					draw(input.random, starts.length),
				);
		if (load === undefined) {
			stuck.push(request);
			if (
				request.excluded.length === 0 &&
				request.softwareVersion === undefined
			) {
				lacking ??= request;
			}

			if (kept.size === 0 && shouldKeep(request, loads, input)) {
				const engine = chooseKept(loads, request)?.engine.id;
				kept.add(engine ?? '');
			}

			continue;
		}

		addStart(load, request);
		starts.push({id: request.id, engine: load.engine.id});
		state = recordStarted(state, request, input.shares);
		queue = order(queue);
	}

	return {state, starts, stuck};
}

/** Loads of the engines that may get a waiting request: few, when something waits. */
function listOpen(
	state: StartState,
	{engines, waiting}: StartInput,
): readonly EngineLoad[] {
	const findSmallest = (requests: readonly StartRequest[]) =>
		requests.reduce<StartRequest | undefined>(
			(smallest, request) =>
				smallest === undefined || request.memoryTokens < smallest.memoryTokens
					? request
					: smallest,
			undefined,
		);
	const candidates = [
		findSmallest(waiting),
		findSmallest(waiting.filter((request) => overtakes(request, state))),
	].filter((request) => request !== undefined);
	return createLoads(engines).filter((load) =>
		candidates.some((request) => countStartable(load, request, state) > 0),
	);
}

/** Whether the memory of an empty engine is too small, whichever may run it. */
function isTooLarge(request: StartRequest, input: StartInput): boolean {
	return input.engines.every(
		(engine) => countUnits(engine, request.memoryTokens) === 0,
	);
}

/** Refuses what waits and can't be served in time, or is beyond the queue's length. */
function refuseQueued(
	stuck: readonly StartRequest[],
	input: StartInput,
): StartDecision['refusals'] {
	const throughput = computeThroughput(input);
	const refusals: Array<StartDecision['refusals'][number]> = [];
	let ownTokens = 0;
	let kept = 0;
	stuck.forEach((request, i) => {
		const {id, priority, promptTokens, resumedAfterMs} = request;
		const ahead = ownTokens + sumOthers(input.othersWaiting, priority);
		const waitMs = estimateWaitMs(throughput, ahead);
		const reason: StartRefusal | undefined =
			kept >= MAX_WAITING ? 'queue-full' : findRefusal(request, waitMs, input);
		if (resumedAfterMs !== undefined || reason === undefined) {
			ownTokens += promptTokens;
			kept += 1;
			return;
		}

		refusals.push({
			id,
			reason,
			retryAfterMs: computeRetryAfterMs(
				request,
				waitMs,
				input,
				draw(input.random, i),
			),
			...(waitMs === undefined ? {} : {waitMs}),
		});
	});
	return refusals;
}

/**
 * Decides which waiting requests of a service start at which engine, and which are
 * refused; the others wait on.
 */
export function decideStarts(
	state: StartState,
	input: StartInput,
): StartDecision {
	const unplaceable = input.waiting.filter(
		(request) => !input.engines.some((engine) => mayRun(engine, request)),
	);
	const placeable = input.waiting.filter(
		(request) => !unplaceable.includes(request),
	);
	const tooLarge = placeable.filter(
		(request) =>
			request.resumedAfterMs === undefined && isTooLarge(request, input),
	);
	const started = startQueued(
		state,
		placeable.filter((request) => !tooLarge.includes(request)),
		listOpen(state, input),
		input,
	);
	return {
		state: started.state,
		starts: started.starts,
		refusals: [
			...tooLarge.map((request) => ({
				id: request.id,
				reason: 'too-large' as const,
				retryAfterMs: computeRetryAfterMs(
					request,
					undefined,
					input,
					input.random,
				),
			})),
			...refuseQueued(started.stuck, input),
		],
		unplaceable: unplaceable.map(({id}) => id),
	};
}
