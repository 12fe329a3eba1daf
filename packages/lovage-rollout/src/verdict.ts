import type {SecondCounts} from './counts.js';
import {findFault} from './fault.js';
import {LAST_STEP, type RolloutOrder, SHARE_STEPS} from './state.js';

/** Bounds on what a bad version may get. */
export type RolloutBounds = Readonly<{
	/** Part of the requests between an order and its deadline. */
	exposeShare: number;
	/** Requests beyond that part. */
	exposeSlack: number;
}>;

/** What is known of a running order. */
export type VerdictInput = Readonly<{
	order: Pick<RolloutOrder, 'durationMs' | 'step'>;
	/** Time since the order, in milliseconds. */
	ageMs: number;
	/** Time since the step began, in milliseconds. */
	stepAgeMs: number;
	/** Responses since the order by second, the oldest first. */
	seconds: readonly SecondCounts[];
	/** Requests to the service since the order. */
	total: number;
	/** Requests to the new version since the order. */
	exposed: number;
	/** Requests a second to the service. */
	perSecond: number;
	/** Requests and streams that run at other versions. */
	oldRunning: number;
	/** Servers of the new version that may get requests. */
	freshServers: number;
	/** Whether the core is stable and all entries are in contact. */
	isStable: boolean;
	bounds: RolloutBounds;
}>;

/** What is done about a running order, and why. */
export type Verdict = Readonly<{
	kind: 'hold' | 'grow' | 'revert' | 'succeed';
	reason: string;
}>;

/** Part of the duration in which evidence is collected at small shares. */
const EARLY_PART = 0.7;
/** Part of the allowed exposure that may be used in that time; the rest is for the last steps. */
const EARLY_EXPOSURE = 0.3;
/** Part of the allowed exposure that is used at all, as counts arrive late. */
const USED_EXPOSURE = 0.95;
/**
 * Time that a step lasts at least, in milliseconds: entries learn of it and report
 * their counts within 200 ms each.
 */
export const MIN_STEP_MS = 500;
/** The same as a part of the duration, for services with few requests. */
const STEP_PART = 0.025;
/** Part of the duration at the full share in which a version is observed, while the exposure admits it. */
const LAST_STEP_PART = 0.08;

function readStepMs({order}: VerdictInput): number {
	return Math.max(MIN_STEP_MS, order.durationMs * STEP_PART);
}

/** Part of the allowed exposure that is used if a share lasts for some time. */
function projectExposure(
	{order, ageMs, total, exposed, perSecond, bounds}: VerdictInput,
	share: number,
	ms: number,
): number {
	const leftMs = Math.max(0, order.durationMs - ageMs);
	const expected = total + (perSecond * leftMs) / 1000;
	const allowed = bounds.exposeShare * expected + bounds.exposeSlack;
	return (exposed + (share * perSecond * ms) / 1000) / allowed;
}

/**
 * Whether a share keeps the exposure that is allowed: early, if it lasts to the end
 * of that part; later, if it lasts for a step.
 */
function isWithinExposure(input: VerdictInput, share: number): boolean {
	const earlyMs = input.order.durationMs * EARLY_PART - input.ageMs;
	return earlyMs > 0
		? projectExposure(input, share, earlyMs) <= EARLY_EXPOSURE
		: projectExposure(input, share, readStepMs(input)) <= USED_EXPOSURE;
}

function decideGrowth(input: VerdictInput): Verdict {
	const {order, ageMs, stepAgeMs} = input;
	if (!input.isStable) {
		return {kind: 'hold', reason: 'unstable'};
	}

	if (input.freshServers === 0) {
		return {kind: 'hold', reason: 'no servers'};
	}

	if (stepAgeMs < readStepMs(input)) {
		return {kind: 'hold', reason: 'step is new'};
	}

	const {step} = order;
	if (step < LAST_STEP) {
		return isWithinExposure(input, SHARE_STEPS[step + 1]!)
			? {kind: 'grow', reason: 'within exposure'}
			: {kind: 'hold', reason: 'exposure'};
	}

	const isObserved =
		stepAgeMs >= order.durationMs * LAST_STEP_PART ||
		projectExposure(input, 1, MIN_STEP_MS) > USED_EXPOSURE;
	if (ageMs < order.durationMs * EARLY_PART || !isObserved) {
		return {kind: 'hold', reason: 'observed'};
	}

	return input.oldRunning > 0
		? {kind: 'hold', reason: 'old versions still run requests'}
		: {kind: 'succeed', reason: 'carries the load'};
}

/** Decides about a running order. */
export function decideRollout(input: VerdictInput): Verdict {
	const fault = findFault(input.seconds);
	return fault === undefined
		? decideGrowth(input)
		: {kind: 'revert', reason: fault};
}
