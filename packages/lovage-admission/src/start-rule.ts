import {isLate} from './start-order.js';
import type {
	StartEngine,
	StartInput,
	StartRequest,
	StartState,
} from './start-types.js';

/**
 * Speed assumed where none is known and one is needed to compare engines, in prompt
 * tokens a millisecond; where something was measured, that is used.
 */
const COMPARED_TOKENS_PER_MS = 5;
/** Difference below which engines count as equal, in milliseconds: a tenth of a usual latency target, so that entries with the same reports choose different ones. */
const TIE_MS = 400;
/** Cost of another data centre, in milliseconds: its link is slow to lose, and billed. */
const REMOTE_COST_MS = 1000;
/** Cost of a data centre in which the stream failed: chosen only if no other has room. */
const FAILED_COST_MS = 1_000_000;
/** Cost of each running request, in milliseconds of prompt processing. */
const RUNNING_COST_MS = 50;
/** Free slots that starts of others which this entry can't see yet may take at least. */
const MIN_CONTESTED = 2;
/**
 * Time after which a free slot whose owner leaves it is offered to further entries:
 * two reports of the owner and one answer, 200 ms each.
 */
const OFFER_STEP_MS = 600;

/** An engine with the starts that are decided so far. */
export type EngineLoad = {
	readonly engine: StartEngine;
	running: number;
	usedTokens: number;
	prefillTokens: number;
	recentStarts: number;
	unreportedEnds: number;
};

/** Copies the loads of engines, which the decision adds to. */
export function createLoads(
	engines: readonly StartEngine[],
): readonly EngineLoad[] {
	return engines.map((engine) => ({
		engine,
		running: engine.running,
		usedTokens: engine.usedTokens,
		prefillTokens: engine.prefillTokens,
		recentStarts: engine.recentStarts,
		unreportedEnds: engine.unreportedEnds,
	}));
}

/** Adds a start to the load of an engine. */
export function addStart(load: EngineLoad, request: StartRequest): void {
	load.running += 1;
	load.usedTokens += request.memoryTokens;
	load.prefillTokens += request.promptTokens;
	if (load.unreportedEnds > 0) {
		// The others have counted the slot as occupied all along.
		load.unreportedEnds -= 1;
	} else {
		load.recentStarts += 1;
	}
}

/** Requests of this size that an empty engine holds. */
export function countUnits(
	{slots, memoryTokens}: Pick<StartEngine, 'slots' | 'memoryTokens'>,
	needTokens: number,
): number {
	return Math.min(slots, Math.floor(memoryTokens / Math.max(1, needTokens)));
}

/** Requests of this size for which an engine has room now. */
export function countFree(
	{engine, running, usedTokens}: EngineLoad,
	needTokens: number,
): number {
	return Math.min(
		engine.slots - running,
		Math.floor((engine.memoryTokens - usedTokens) / Math.max(1, needTokens)),
	);
}

/** Time until an engine has processed the prompts ahead and `promptTokens`. */
function computeFirstEventMs(
	{engine, prefillTokens}: EngineLoad,
	promptTokens: number,
	input: StartInput,
): number | undefined {
	const speed = engine.tokensPerMs ?? input.tokensPerMs;
	return speed === undefined
		? undefined
		: (prefillTokens + promptTokens) / speed;
}

/**
 * Whether this entry may use free room that others see as well. Slots are numbered over
 * the engines as for brittle servers, each belongs to one entry, and one that stays free
 * is offered to ever more of the entries that follow its owner.
 */
function ownsRoom(
	load: EngineLoad,
	request: StartRequest,
	input: StartInput,
	contested: number,
): boolean {
	const {engine, recentStarts, unreportedEnds} = load;
	const free = countFree(load, request.memoryTokens);
	if (input.instances <= 1 || unreportedEnds > 0 || free > contested) {
		return true;
	}

	const units = countUnits(engine, request.memoryTokens);
	const visible = Math.min(units, free + recentStarts);
	const steps = Math.floor(engine.unchangedMs / OFFER_STEP_MS);
	const reach = steps * steps;
	let owned = 0;
	for (let slot = units - visible; slot < units; slot += 1) {
		const owner = (slot * input.positions + engine.position) % input.instances;
		const distance = (input.rank - owner + input.instances) % input.instances;
		owned += distance <= reach ? 1 : 0;
	}

	return owned > recentStarts;
}

/** Whether another prompt leaves room for one of the most urgent kind. */
function leavesUrgentRoom(
	load: EngineLoad,
	request: StartRequest,
	state: StartState,
	input: StartInput,
): boolean {
	const {urgent} = state;
	if (urgent === undefined || request.priority <= urgent.priority) {
		return true;
	}

	const afterMs = computeFirstEventMs(
		load,
		request.promptTokens + urgent.promptTokens,
		input,
	);
	return afterMs === undefined || afterMs <= urgent.latencyTargetMs;
}

/** Whether the first event comes in time, of a late request before its deadline. */
function isInTime(
	load: EngineLoad,
	request: StartRequest,
	input: StartInput,
): boolean {
	const firstEventMs = computeFirstEventMs(load, request.promptTokens, input);
	if (firstEventMs === undefined || request.resumedAfterMs !== undefined) {
		return true;
	}

	const limitAt = isLate(request, input)
		? request.deadlineAt
		: request.targetAt;
	return input.now + firstEventMs <= limitAt;
}

/** Whether an engine may run a request at all. */
export function mayRun(engine: StartEngine, request: StartRequest): boolean {
	return (
		!request.excluded.includes(engine.id) &&
		(request.softwareVersion === undefined ||
			engine.softwareVersion === request.softwareVersion)
	);
}

function computeCostMs(
	load: EngineLoad,
	request: StartRequest,
	input: StartInput,
): number {
	const {dataCentre} = load.engine;
	const ms =
		computeFirstEventMs(load, request.promptTokens, input) ??
		(load.prefillTokens + request.promptTokens) / COMPARED_TOKENS_PER_MS;
	return (
		ms +
		load.running * RUNNING_COST_MS +
		(dataCentre === input.dataCentre ? 0 : REMOTE_COST_MS) +
		(request.failedDataCentres.includes(dataCentre) ? FAILED_COST_MS : 0)
	);
}

/**
 * Free slots of an engine that others may take before this entry sees it: those of what
 * waits there, spread over the engines with room, and three standard deviations.
 */
export function countContested(
	loads: readonly EngineLoad[],
	waitingElsewhere: number,
	needTokens: number,
): number {
	const open = loads.filter((load) => countFree(load, needTokens) > 0).length;
	const expected = waitingElsewhere / Math.max(1, open);
	return Math.max(MIN_CONTESTED, Math.ceil(expected + 3 * Math.sqrt(expected)));
}

/** What the choice of an engine depends on besides the request. */
export type RuleContext = Readonly<{
	state: StartState;
	input: StartInput;
	/** Requests that wait at the other entries. */
	waitingElsewhere: number;
	/** Engines whose next free memory is kept for a large request. */
	kept: ReadonlySet<string>;
}>;

/** Chooses the engine at which a request starts now; undefined if it waits. */
export function chooseEngine(
	loads: readonly EngineLoad[],
	request: StartRequest,
	{state, input, waitingElsewhere, kept}: RuleContext,
	random: number,
): EngineLoad | undefined {
	const free = loads.filter(
		(load) =>
			countFree(load, request.memoryTokens) > 0 &&
			mayRun(load.engine, request) &&
			!kept.has(load.engine.id),
	);
	if (free.length === 0) {
		return undefined;
	}

	const contested = countContested(
		loads,
		waitingElsewhere,
		request.memoryTokens,
	);
	const able = free.filter(
		(load) =>
			ownsRoom(load, request, input, contested) &&
			isInTime(load, request, input) &&
			leavesUrgentRoom(load, request, state, input),
	);
	const costs = able.map((load) => computeCostMs(load, request, input));
	const lowest = Math.min(...costs);
	const best = able.filter((_, i) => costs[i]! <= lowest + TIE_MS);
	return best[Math.floor(random * best.length)];
}

/**
 * Engine whose memory is kept for a request that waits longer than others because of
 * its size: the one with most of it.
 */
export function chooseKept(
	loads: readonly EngineLoad[],
	request: StartRequest,
): EngineLoad | undefined {
	return loads
		.filter(
			({engine}) =>
				mayRun(engine, request) && countUnits(engine, request.memoryTokens) > 0,
		)
		.reduce<EngineLoad | undefined>(
			(best, load) =>
				best === undefined ||
				load.engine.memoryTokens - load.usedTokens >
					best.engine.memoryTokens - best.usedTokens
					? load
					: best,
			undefined,
		);
}
