/** How one exchange with a backend server went, as its health is concerned. */
export type ExchangeOutcome =
	| 'answered'
	/** It ran the request and failed, or its answer was lost. */
	| 'failed'
	/** No connection could be made. */
	| 'unreachable';

/** Why a backend server is left alone. */
export type AvoidReason = 'unreachable' | 'failing';

/** What an instance has seen of one backend server. */
export type BackendHealth = Readonly<{
	/** Weighted share of failed exchanges, 0 to 1. */
	failureShare: number;
	/** Exchanges that the share stands for, at most `MAX_WEIGHT`. */
	weight: number;
	/** Left alone until then, in monotonic milliseconds. */
	avoidedUntil: number;
	/** Why it was left alone last. */
	avoidReason?: AvoidReason;
	/** Last answer, in monotonic milliseconds. */
	answeredAt?: number;
}>;

/** Nothing seen yet. */
export const UNKNOWN_HEALTH: BackendHealth = {
	failureShare: 0,
	weight: 0,
	avoidedUntil: 0,
};

/** Exchanges over which the share is averaged. */
const MAX_WEIGHT = 10;
/** Exchanges before a share means anything. */
const MIN_WEIGHT = 4;
/** A backend server that fails more of its exchanges is left alone. */
const MAX_FAILURE_SHARE = 0.5;
/** Restarts take a second and more; shorter pauses meet refused connections again. */
const UNREACHABLE_AVOID_MS = 1500;
/** Time until a failing backend server is tried again. */
const FAILING_AVOID_MS = 2000;

/** Takes in one exchange. */
export function recordExchange(
	health: BackendHealth,
	outcome: ExchangeOutcome,
	now: number,
): BackendHealth {
	if (outcome === 'unreachable') {
		return {
			...health,
			avoidedUntil: now + UNREACHABLE_AVOID_MS,
			avoidReason: 'unreachable',
		};
	}

	const weight = Math.min(MAX_WEIGHT, health.weight + 1);
	const sample = outcome === 'failed' ? 1 : 0;
	const failureShare =
		health.failureShare + (sample - health.failureShare) / weight;
	const isFailing = weight >= MIN_WEIGHT && failureShare > MAX_FAILURE_SHARE;
	if (isFailing && outcome === 'failed') {
		// The share starts anew, so that the next tries decide by themselves.
		return {
			...health,
			failureShare: 0,
			weight: 0,
			avoidedUntil: now + FAILING_AVOID_MS,
			avoidReason: 'failing',
		};
	}

	return {
		...health,
		failureShare,
		weight,
		...(outcome === 'answered' ? {answeredAt: now, avoidedUntil: 0} : {}),
	};
}

/** Whether a backend server is left alone now. */
export function isAvoided(health: BackendHealth, now: number): boolean {
	return now < health.avoidedUntil;
}

/** Why a backend server is left alone now; undefined if it isn't. */
export function getAvoidReason(
	health: BackendHealth,
	now: number,
): AvoidReason | undefined {
	return isAvoided(health, now) ? health.avoidReason : undefined;
}
