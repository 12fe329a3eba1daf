/** Outcome of one exchange with a backend server. */
export type ExchangeOutcome =
	| 'answered'
	/** The backend server failed to process the request, or its answer was lost. */
	| 'failed'
	/** The backend server sent more than an answer can hold. */
	| 'flooded'
	/** No connection could be made. */
	| 'unreachable';

/** Why a backend server is avoided. */
export type AvoidReason = 'unreachable' | 'failing';

/** Health of one backend server, from the exchanges of this instance. */
export type BackendHealth = Readonly<{
	/** Moving average of failed exchanges, from 0 to 1. */
	failureShare: number;
	/** Number of exchanges in the average, at most `MAX_WEIGHT`. */
	weight: number;
	/** End of the time in which it is avoided, in monotonic milliseconds. */
	avoidedUntil: number;
	/** Why it was last avoided. */
	avoidReason?: AvoidReason;
	/** Time of the last answer, in monotonic milliseconds. */
	answeredAt?: number;
}>;

/** Health of a backend server before the first exchange. */
export const UNKNOWN_HEALTH: BackendHealth = {
	failureShare: 0,
	weight: 0,
	avoidedUntil: 0,
};

/** Largest number of exchanges in the moving average. */
const MAX_WEIGHT = 10;
/** Smallest number of exchanges for a meaningful average. */
const MIN_WEIGHT = 4;
/** Share of failed exchanges above which a backend server is avoided. */
const MAX_FAILURE_SHARE = 0.5;
/** Time for which an unreachable backend server is avoided. A restart takes at least a second, so connections are still refused before that. */
const UNREACHABLE_AVOID_MS = 1500;
/** Time for which a failing backend server is avoided. */
const FAILING_AVOID_MS = 2000;
/** Time for which a flooding backend server is avoided. Each further answer costs as much as many sound ones. */
export const FLOODING_AVOID_MS = 10_000;

/** Updates the health with the outcome of one exchange. */
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

	if (outcome === 'flooded') {
		return {
			...health,
			avoidedUntil: now + FLOODING_AVOID_MS,
			avoidReason: 'failing',
		};
	}

	const weight = Math.min(MAX_WEIGHT, health.weight + 1);
	const sample = outcome === 'failed' ? 1 : 0;
	const failureShare =
		health.failureShare + (sample - health.failureShare) / weight;
	const isFailing = weight >= MIN_WEIGHT && failureShare > MAX_FAILURE_SHARE;
	if (isFailing && outcome === 'failed') {
		// Resets the average, so that only later exchanges decide about the next period.
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

/** Whether a backend server is currently avoided. */
export function isAvoided(health: BackendHealth, now: number): boolean {
	return now < health.avoidedUntil;
}

/** Why a backend server is currently avoided; undefined if it is not. */
export function getAvoidReason(
	health: BackendHealth,
	now: number,
): AvoidReason | undefined {
	return isAvoided(health, now) ? health.avoidReason : undefined;
}
