/** What a backend server says about its limit in an answer. */
export type LimitNotice =
	| Readonly<{kind: 'none'}>
	/** Requests a second that it takes from all instances together. */
	| Readonly<{kind: 'named'; perSecond: number}>
	| Readonly<{kind: 'malformed'; text: string}>;

/** What is known of the limit of one incarnation of a backend server. */
export type LimitStatement = Readonly<{
	/** Requests a second from all instances together; absent if it named none. */
	perSecond?: number;
	/** Time up to which the statement holds for certain, in monotonic milliseconds. */
	at: number;
}>;

/**
 * Applies an answer. An answer with a limit says so when it arrives; one without a
 * limit proves only that there was none when its request was sent, as another
 * answer may have overtaken it.
 */
export function applyLimitNotice(
	known: LimitStatement | undefined,
	notice: LimitNotice,
	{sentAt, now}: Readonly<{sentAt: number; now: number}>,
): LimitStatement | undefined {
	switch (notice.kind) {
		case 'malformed': {
			return known;
		}

		case 'named': {
			return keepNewest(known, {perSecond: notice.perSecond, at: now});
		}

		case 'none': {
			return known === undefined ? undefined : keepNewest(known, {at: sentAt});
		}
	}
}

/** Of two statements on the same incarnation, keeps the newer one. */
export function keepNewest(
	known: LimitStatement | undefined,
	other: LimitStatement,
): LimitStatement {
	return known === undefined || other.at > known.at ? other : known;
}

/** Requests for a service that instances have counted. */
export type DemandCounts = Readonly<{
	/** Requests and retries within a longer window. */
	window: number;
	/** Requests and retries within the last second. */
	recent: number;
}>;

/**
 * Estimates the requests a second for a service at all instances, rather too high
 * than too low. Without counts of the others, they are taken to have as many each
 * as this instance. So are they when its first requests after a pause arrive: the
 * others may get theirs at the same moment.
 */
export function estimateDemand(
	own: DemandCounts,
	others: DemandCounts | undefined,
	{instances, windowMs}: Readonly<{instances: number; windowMs: number}>,
): number {
	const toRate = ({window, recent}: DemandCounts): number =>
		Math.max(recent, (window * 1000) / windowMs);
	if (others === undefined) {
		return toRate(own) * instances;
	}

	const known = toRate({
		window: own.window + others.window,
		recent: own.recent + others.recent,
	});
	const isAfterPause = own.window <= own.recent;
	return isAfterPause ? Math.max(known, own.recent * instances) : known;
}

/** A backend server with a limit that a request could be sent to. */
export type LimitedCandidate = Readonly<{
	/** Identifies the incarnation. */
	key: string;
	perSecond: number;
	slots: number;
	/** Requests that the other instances sent it within the window, as of their last reports. */
	sentByOthers: number;
	/** Requests that this instance sent it within the window. */
	sent: number;
}>;

/** Service of the candidates, as this instance knows it. */
export type LimitContext = Readonly<{
	/** Requests a second for the service at all instances. */
	demandPerSecond: number;
	/** Slots of the backend servers without a limit that may get the request. */
	unlimitedSlots: number;
	/**
	 * Credit of a backend server that has named a limit just now, in [0, 1). It
	 * differs between instances, so that they don't send at the same moment.
	 */
	initialCredit: number;
}>;

/** Parts of a request that are due at each limited backend server, by key. */
export type LimitCredits = ReadonlyMap<string, number>;

/** Window in which the requests of all instances to a limited backend server are summed. */
export const LIMIT_WINDOW_MS = 4000;
/** Part of a limit that is used, as the demand is known with a delay. */
const USED_SHARE = 0.92;
/** Lowest rate; a backend server that gets nothing could never say that its limit is over. */
const MIN_PER_SECOND = 0.2;
/** Requests within the window beyond which nothing is sent, whatever the demand seems to be. */
const WINDOW_SLACK = 2;

/** Rate at which a limit is used, in requests a second. */
function readUsedRate({perSecond}: LimitedCandidate): number {
	return Math.max(MIN_PER_SECOND, perSecond * USED_SHARE);
}

function isExhausted({
	perSecond,
	sent,
	sentByOthers,
}: LimitedCandidate): boolean {
	const allowed =
		Math.max(MIN_PER_SECOND, perSecond) * (LIMIT_WINDOW_MS / 1000);
	return sent + sentByOthers >= allowed + WINDOW_SLACK;
}

/**
 * Part of the service's requests that each limited backend server gets. Beside
 * others without a limit, none gets more than its part of the slots.
 */
export function computeLimitShares(
	candidates: readonly LimitedCandidate[],
	{demandPerSecond, unlimitedSlots}: LimitContext,
): ReadonlyMap<string, number> {
	const slots = candidates.reduce((sum, one) => sum + one.slots, 0);
	const shares = candidates.map((candidate): [string, number] => {
		const ofDemand = readUsedRate(candidate) / Math.max(0.01, demandPerSecond);
		const ofSlots = candidate.slots / Math.max(1, slots + unlimitedSlots);
		return [
			candidate.key,
			Math.min(1, unlimitedSlots > 0 ? Math.min(ofDemand, ofSlots) : ofDemand),
		];
	});
	const total = shares.reduce((sum, [, share]) => sum + share, 0);
	return new Map(
		shares.map(([key, share]) => [key, share / Math.max(1, total)]),
	);
}

/**
 * Decides whether a request goes to a limited backend server. Each instance sends
 * it the same part of its own requests, so that all together keep the limit
 * without asking each other, wherever the requests arrive. Nothing is saved up: a
 * request that is due and can't be sent is lost to the backend server.
 */
export function drawLimited(
	candidates: readonly LimitedCandidate[],
	context: LimitContext,
	credits: LimitCredits,
): Readonly<{chosen: string | undefined; credits: LimitCredits}> {
	const shares = computeLimitShares(candidates, context);
	const updated = new Map(
		candidates.map(({key}): [string, number] => [
			key,
			(credits.get(key) ?? context.initialCredit) + shares.get(key)!,
		]),
	);
	const due = candidates
		.filter(({key}) => updated.get(key)! >= 1)
		.toSorted((a, b) => updated.get(b.key)! - updated.get(a.key)!);
	due.forEach(({key}) => {
		updated.set(key, updated.get(key)! - 1);
	});
	return {
		chosen: due.find((candidate) => !isExhausted(candidate))?.key,
		credits: new Map([...credits, ...updated]),
	};
}
