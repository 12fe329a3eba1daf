import {isLate} from './start-order.js';
import {
	countContested,
	countFree,
	countStartable,
	countUnits,
	type EngineLoad,
	isMostUrgent,
	keepsUrgentRoom,
	overtakes,
	ownsRoom,
	type RuleContext,
} from './start-room.js';
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
/**
 * Difference below which engines count as equal, in milliseconds, at least; and the time
 * of the request's own prompt: within less, all entries with the same reports choose the
 * few engines that have one prompt less.
 */
const MIN_TIE_MS = 400;
/** Cost of another data centre beyond a tie, in milliseconds: links lose packets, and their traffic is billed. */
const REMOTE_COST_MS = 1000;
/** Cost of a data centre in which the stream failed: chosen only if no other has room. */
const FAILED_COST_MS = 1_000_000;
/**
 * Mean times between two ends at an engine for which a request that overtakes may have to
 * wait: 5% of exponential times are longer.
 */
const SLOT_WAIT_MEANS = 3;
/** Cost of each running request, in milliseconds of prompt processing. */
const RUNNING_COST_MS = 50;
/** Prompt tokens that an engine processes until the first event of a request. */
function countPromptTokens(
	{prefillTokens}: EngineLoad,
	request: StartRequest,
	state: StartState,
): number {
	const ahead = overtakes(request, state) ? 0 : prefillTokens;
	return ahead + request.promptTokens;
}

/** Time within which a request that an engine has no room for nearly always gets a slot there. */
function computeSlotWaitMs(
	load: EngineLoad,
	{memoryTokens}: StartRequest,
	{holdMs}: StartInput,
): number {
	const isFull = countFree(load, memoryTokens) <= 0;
	return isFull && holdMs !== undefined
		? (SLOT_WAIT_MEANS * holdMs) / countUnits(load.engine, memoryTokens)
		: 0;
}

/** Whether a request leaves room for one of the most urgent kind. */
function leavesUrgentRoom(
	load: EngineLoad,
	request: StartRequest,
	state: StartState,
): boolean {
	const {urgent} = state;
	if (
		urgent === undefined ||
		isMostUrgent(request, state) ||
		request.resumedAfterMs !== undefined
	) {
		return true;
	}

	const {engine, running, usedTokens} = load;
	const lacksRoom =
		running + 1 >= engine.slots ||
		usedTokens + request.memoryTokens + urgent.memoryTokens >
			engine.memoryTokens;
	return !(
		lacksRoom &&
		keepsUrgentRoom(engine, countUnits(engine, urgent.memoryTokens), state)
	);
}

/** Whether the first event comes in time, of a late request before its deadline. */
function isInTime(
	load: EngineLoad,
	request: StartRequest,
	{state, input}: RuleContext,
): boolean {
	const speed = load.engine.tokensPerMs ?? input.tokensPerMs;
	if (speed === undefined || request.resumedAfterMs !== undefined) {
		return true;
	}

	const firstEventMs =
		computeSlotWaitMs(load, request, input) +
		countPromptTokens(load, request, state) / speed;

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

function computeTieMs(
	{promptTokens}: StartRequest,
	{tokensPerMs = COMPARED_TOKENS_PER_MS}: StartInput,
): number {
	return Math.max(MIN_TIE_MS, promptTokens / tokensPerMs);
}

function computeCostMs(
	load: EngineLoad,
	request: StartRequest,
	input: StartInput,
): number {
	const {dataCentre, tokensPerMs = input.tokensPerMs} = load.engine;
	return (
		computeSlotWaitMs(load, request, input) +
		(load.prefillTokens + request.promptTokens) /
			(tokensPerMs ?? COMPARED_TOKENS_PER_MS) +
		load.running * RUNNING_COST_MS +
		(dataCentre === input.dataCentre
			? 0
			: computeTieMs(request, input) + REMOTE_COST_MS) +
		(request.failedDataCentres.includes(dataCentre) ? FAILED_COST_MS : 0)
	);
}

/** Chooses the engine at which a request starts now; undefined if it waits. */
export function chooseEngine(
	loads: readonly EngineLoad[],
	request: StartRequest,
	context: RuleContext,
	random: number,
): EngineLoad | undefined {
	const {state, input, unseen, kept} = context;
	const free = loads.filter(
		(load) =>
			countStartable(load, request, state) > 0 &&
			mayRun(load.engine, request) &&
			!kept.has(load.engine.id),
	);
	if (free.length === 0) {
		return undefined;
	}

	const contested = countContested(loads, unseen, request.memoryTokens);
	const able = free.filter(
		(load) =>
			(overtakes(request, state) ||
				ownsRoom(load, request, context, contested)) &&
			isInTime(load, request, context) &&
			leavesUrgentRoom(load, request, state),
	);
	const costs = able.map((load) => computeCostMs(load, request, input));
	const lowest = Math.min(...costs);
	const tieMs = computeTieMs(request, input);
	const best = able.filter((_, i) => costs[i]! <= lowest + tieMs);
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
