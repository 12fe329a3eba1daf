/** A stream that waits for room at a model engine. Times are monotonic milliseconds. */
export type StartRequest = Readonly<{
	id: string;
	/** 0 is the highest. */
	priority: number;
	/** Empty without a customer. */
	customer: string;
	promptTokens: number;
	/** Tokens in the KV cache when the answer is complete. */
	memoryTokens: number;
	/** Number of arrivals before it. */
	order: number;
	arrivedAt: number;
	/** Time by which the first event is on time. */
	targetAt: number;
	deadlineAt: number;
	/**
	 * For a stream of which an earlier run may have begun, the time for which it has
	 * delivered events; such a stream is never refused here. Absent for others.
	 */
	resumedAfterMs?: number;
	/** Engines that must not receive it. */
	excluded: readonly string[];
	/** Data centres that are used only if no other engine can start it. */
	failedDataCentres: readonly string[];
	/** The only software version that may run it; absent if any may. */
	softwareVersion?: string;
}>;

/** A model engine that may get requests, with the load from all entries. */
export type StartEngine = Readonly<{
	id: string;
	dataCentre: string;
	softwareVersion: string;
	/** Position among the engines of the service, the same at all entries. */
	position: number;
	slots: number;
	memoryTokens: number;
	running: number;
	usedTokens: number;
	/** Prompt tokens of requests without a first event. */
	prefillTokens: number;
	/** Starts of this entry that the others may not know of yet. */
	recentStarts: number;
	/** Requests of this entry that ended, and that the others still count. */
	unreportedEnds: number;
	/** Time for which its room has been the same, in milliseconds. */
	unchangedMs: number;
	/** Learned speed of prompt processing; undefined while it isn't known. */
	tokensPerMs?: number;
}>;

/** Kind of requests with the highest priority that came lately. */
export type UrgentKind = Readonly<{
	priority: number;
	promptTokens: number;
	memoryTokens: number;
	latencyTargetMs: number;
	seenAt: number;
	/** Whether no request of a lower priority came lately, so that no room is kept. */
	isAlone: boolean;
}>;

/** Prompts that came lately. */
export type RecentPrompts = Readonly<{
	/** Tokens by priority; older ones count less. */
	tokens: readonly number[];
	atMs: number;
	/** Lowest priority that comes before most of the tokens; -1 if none does. */
	overtakingPriority: number;
}>;

/** What the starts of a service depend on besides the waiting requests. */
export type StartState = Readonly<{
	/** Virtual time by priority and customer, in tokens over the share. */
	virtualTimes: ReadonlyMap<string, number>;
	/** Virtual time of the last start, by priority. */
	queueTimes: readonly number[];
	/** Number of new requests started so far. */
	startCount: number;
	urgent?: UrgentKind;
	recent: RecentPrompts;
}>;

/** State of a service without any start. */
export const NO_STARTS: StartState = {
	virtualTimes: new Map(),
	queueTimes: [],
	startCount: 0,
	recent: {tokens: [], atMs: 0, overtakingPriority: -1},
};

/** What an entry knows when it decides. */
export type StartInput = Readonly<{
	waiting: readonly StartRequest[];
	engines: readonly StartEngine[];
	/** Number of positions of engines, also of those that get no requests now. */
	positions: number;
	dataCentre: string;
	/** Position of this entry among those that serve, and their number. */
	rank: number;
	instances: number;
	/**
	 * Ranks of the entries of which the others know that work waits there, ascending;
	 * undefined if that isn't known of any.
	 */
	waitingRanks?: readonly number[];
	/** Prompt tokens that wait at the other entries, by priority. */
	othersWaiting: readonly number[];
	/** Measured speed of the service's engines, for those that have none of their own. */
	tokensPerMs?: number;
	/** Measured time for which a request occupies a slot, in milliseconds. */
	holdMs?: number;
	/** Relative share of each customer; 1 if not listed. */
	shares?: Readonly<Record<string, number>>;
	now: number;
	/** In [0, 1). */
	random: number;
}>;

/** Why a request is refused. */
export type StartRefusal =
	'too-large' | 'queue-full' | 'cannot-be-on-time' | 'deadline-unmeetable';

/** Outcome for the requests that don't wait on. */
export type StartDecision = Readonly<{
	state: StartState;
	starts: ReadonlyArray<Readonly<{id: string; engine: string}>>;
	refusals: ReadonlyArray<
		Readonly<{
			id: string;
			reason: StartRefusal;
			retryAfterMs: number;
			/** Estimated wait, in milliseconds; undefined if no speed is known. */
			waitMs?: number;
		}>
	>;
	/** Requests that no engine of the input may run. */
	unplaceable: readonly string[];
}>;
