import type {
	StartEngine,
	StartInput,
	StartRequest,
	StartState,
} from './start-types.js';

/** Free slots that starts of others which this entry can't see yet may take at least. */
const MIN_CONTESTED = 2;
/**
 * Time after which a free slot whose owner leaves it is offered to further entries:
 * two reports of the owner and one answer, 200 ms each.
 */
const OFFER_STEP_MS = 600;

/**
 * One in this many engines keeps room for one request of the most urgent kind: 78 of
 * 157, which refills faster than such requests come, and costs the others 6% at most.
 */
const KEEPING_EVERY = 2;
/** Engines that hold fewer requests keep no room, which would be too large a part. */
const MIN_KEEPING_UNITS = 4;
/** Time after which a request of the most urgent kind may use further kept room: a twentieth of a short latency target. */
const KEPT_STEP_MS = 200;

/** Time until an entry sees the starts of others: their report and its next answer, 200 ms each, and as much for a slow machine. */
const UNSEEN_MS = 500;

/**
 * Requests beyond its room that an engine may hold for those that overtake: the first of its
 * queue starts when the next request ends there. Further ones would preempt others.
 */
const OVERTAKING_ROOM = 1;

/** An engine with the starts that are decided so far. */
export type EngineLoad = {
	readonly engine: StartEngine;
	running: number;
	usedTokens: number;
	prefillTokens: number;
	recentStarts: number;
	unreportedEnds: number;
};

/** What the choice of an engine depends on besides the request. */
export type RuleContext = Readonly<{
	state: StartState;
	input: StartInput;
	/** Starts of other entries that this one can't see yet. */
	unseen: number;
	/** Engines whose next free memory is kept for a large request. */
	kept: ReadonlySet<string>;
}>;

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

/**
 * Starts of other entries that this one can't see yet: of what waits there, and of what
 * arrives, which are as many as end while the load stays the same.
 */
export function countUnseen(
	input: StartInput,
	waitingElsewhere: number,
): number {
	const {engines, holdMs, instances} = input;
	if (instances <= 1) {
		return 0;
	}

	const running = engines.reduce((sum, engine) => sum + engine.running, 0);
	return (
		waitingElsewhere +
		(holdMs === undefined ? 0 : (running * UNSEEN_MS) / holdMs)
	);
}

/**
 * Free slots of an engine that others may take before this entry sees it: the unseen
 * starts spread over the engines that have more, and three standard deviations.
 */
export function countContested(
	loads: readonly EngineLoad[],
	unseen: number,
	needTokens: number,
): number {
	const free = loads.map((load) => countFree(load, needTokens));
	const most = Math.max(...free);
	let contested = MIN_CONTESTED;
	while (contested < most) {
		const bound = contested;
		const expected = unseen / free.filter((count) => count > bound).length;
		if (expected + 3 * Math.sqrt(expected) <= contested) {
			break;
		}

		contested += 1;
	}

	return contested;
}

/** Whether a request is of the most urgent kind that came lately. */
export function isMostUrgent(
	{priority}: StartRequest,
	{urgent}: StartState,
): boolean {
	return urgent === undefined || priority <= urgent.priority;
}

/**
 * Whether a request comes before most of those that an engine holds: engines admit the more
 * urgent first, and preempt the newest of the least urgent if memory runs out.
 */
export function overtakes(
	{priority, resumedAfterMs}: StartRequest,
	{recent}: StartState,
): boolean {
	return resumedAfterMs === undefined && priority <= recent.overtakingPriority;
}

/** Requests that an engine may get: an overtaking one also if one more than fits is there. */
export function countStartable(
	load: EngineLoad,
	request: StartRequest,
	state: StartState,
): number {
	const free = countFree(load, request.memoryTokens);
	return overtakes(request, state) ? free + OVERTAKING_ROOM : free;
}

/** Whether an engine keeps room for a request of the most urgent kind. */
export function keepsUrgentRoom(
	{position}: StartEngine,
	units: number,
	{urgent}: StartState,
): boolean {
	return (
		urgent?.isAlone === false &&
		position % KEEPING_EVERY === 0 &&
		units >= MIN_KEEPING_UNITS
	);
}

/**
 * Entries that come before this one, from the owner of a slot on: only those at which
 * work waits, if they are known, so that slots of the others are used.
 */
function countBetween(
	owner: number,
	{rank, instances}: StartInput,
	waitingRanks: StartInput['waitingRanks'],
): number {
	if (waitingRanks === undefined) {
		return (rank - owner + instances) % instances;
	}

	if (!waitingRanks.includes(rank)) {
		// The others take it for one that leaves its slots to them.
		return Number.POSITIVE_INFINITY;
	}

	return waitingRanks.filter((other) =>
		owner <= rank
			? other >= owner && other < rank
			: other >= owner || other < rank,
	).length;
}

/** Slots of one engine that an entry may use, and how far it is from their owners. */
type Claim = Readonly<{
	first: number;
	end: number;
	/** Entries before this one from the owner on that must leave a slot. */
	reach: number;
	waitingRanks: StartInput['waitingRanks'];
}>;

function countOwned(
	{position}: StartEngine,
	{first, end, reach, waitingRanks}: Claim,
	input: StartInput,
): number {
	let owned = 0;
	for (let slot = first; slot < end; slot += 1) {
		const owner = (slot * input.positions + position) % input.instances;
		owned += countBetween(owner, input, waitingRanks) <= reach ? 1 : 0;
	}

	return owned;
}

/**
 * Whether this entry may use free room that others see as well. Slots are numbered over
 * the engines as for brittle servers, each belongs to one entry, and one that stays free
 * is offered to one further entry at a time, which the others see before the next.
 */
export function ownsRoom(
	load: EngineLoad,
	request: StartRequest,
	{state, input}: RuleContext,
	contested: number,
): boolean {
	const {engine, recentStarts, unreportedEnds} = load;
	if (input.instances <= 1 || unreportedEnds > 0) {
		return true;
	}

	const units = countUnits(engine, request.memoryTokens);
	const kept = keepsUrgentRoom(engine, units, state) ? 1 : 0;
	const end = units - kept;
	const free = countFree(load, request.memoryTokens) - kept;
	if (free > contested) {
		return true;
	}

	// Those at which only others wait can't use kept room.
	const waitedMs = input.now - request.arrivedAt;
	const ownsKept =
		kept > 0 &&
		isMostUrgent(request, state) &&
		countOwned(
			engine,
			{
				first: end,
				end: units,
				reach: Math.floor(waitedMs / KEPT_STEP_MS),
				waitingRanks: undefined,
			},
			input,
		) > recentStarts;
	const visible = Math.min(end, free + recentStarts);
	const claim: Claim = {
		first: end - visible,
		end,
		reach: Math.floor(engine.unchangedMs / OFFER_STEP_MS),
		waitingRanks: input.waitingRanks,
	};
	return ownsKept || countOwned(engine, claim, input) > recentStarts;
}
