/** Stage of a roll-out. */
export type RolloutStage = 'running' | 'succeeded' | 'reverted';

/** The newest order of a service. */
export type RolloutOrder = Readonly<{
	/** Software version that gets the traffic. */
	to: string;
	durationMs: number;
	/**
	 * Time since the order at its last change, in milliseconds. An age, as the clocks
	 * of instances differ.
	 */
	ageMs: number;
	stage: RolloutStage;
	/** Index of the share that the new version gets, in `SHARE_STEPS`. */
	step: number;
}>;

/** What the group has decided about the software versions of a service. */
export type ServiceRollout = Readonly<{
	/** Version that gets what the order doesn't give to the new one. */
	current?: string;
	/** The first known version and those that orders name which aren't reverted. */
	allowed: readonly string[];
	order?: RolloutOrder;
}>;

/** Decisions by service. */
export type RolloutState = ReadonlyMap<string, ServiceRollout>;

/** Change of the roll-outs, as it stands in the replicated log. */
export type RolloutCommand =
	| Readonly<{
			kind: 'rollout-first';
			service: string;
			/** First known version of the service. */
			version: string;
	  }>
	| Readonly<{
			kind: 'rollout-order';
			service: string;
			to: string;
			durationMs: number;
	  }>
	| Readonly<{
			kind: 'rollout-change';
			service: string;
			to: string;
			ageMs: number;
			stage: RolloutStage;
			step: number;
	  }>;

/**
 * Shares of a service's requests that a new version gets, by step. The first one
 * gives evidence on services with hundreds of requests a second at a fifth of the
 * exposure that is allowed; the next ones at most triple the load, so that a
 * version that fails under load shows it before it has all of it.
 */
export const SHARE_STEPS: readonly number[] = [0.02, 0.05, 0.1, 0.3, 0.6, 1];
/** Step at which the new version carries the load. */
export const LAST_STEP = SHARE_STEPS.length - 1;
/** Longest name of a service or version in an order; registrations have shorter ones. */
const MAX_NAME_LENGTH = 256;
/** Longest duration of an order, in milliseconds; far longer than any is planned for. */
export const MAX_DURATION_MS = 86_400_000;

const STAGES: ReadonlySet<unknown> = new Set<RolloutStage>([
	'running',
	'succeeded',
	'reverted',
]);

/** State without any decisions. */
export const EMPTY_ROLLOUTS: RolloutState = new Map();

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Whether a value can name a service or a version. */
export function isRolloutName(value: unknown): value is string {
	return (
		typeof value === 'string' && value !== '' && value.length <= MAX_NAME_LENGTH
	);
}

/** Whether a value can be a version of servers; those that state none have an empty one. */
function isServedVersion(value: unknown): value is string {
	return value === '' || isRolloutName(value);
}

/** Whether a value can be the duration of an order, in milliseconds. */
export function isRolloutDuration(value: unknown): value is number {
	return typeof value === 'number' && value > 0 && value <= MAX_DURATION_MS;
}

function isAge(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isStep(value: unknown): value is number {
	return (
		typeof value === 'number' &&
		Number.isInteger(value) &&
		value >= 0 &&
		value <= LAST_STEP
	);
}

/** Whether a value is a change of the roll-outs as the log stores it. */
export function isRolloutCommand(value: unknown): value is RolloutCommand {
	if (!isObject(value) || !isRolloutName(value.service)) {
		return false;
	}

	switch (value.kind) {
		case 'rollout-first': {
			return isServedVersion(value.version);
		}

		case 'rollout-order': {
			return isRolloutName(value.to) && isRolloutDuration(value.durationMs);
		}

		case 'rollout-change': {
			return (
				isRolloutName(value.to) &&
				isAge(value.ageMs) &&
				STAGES.has(value.stage) &&
				isStep(value.step)
			);
		}

		default: {
			return false;
		}
	}
}

function isServiceRollout(value: unknown): value is ServiceRollout {
	if (!isObject(value) || !Array.isArray(value.allowed)) {
		return false;
	}

	const {current, order} = value;
	return (
		value.allowed.every((version) => isServedVersion(version)) &&
		(current === undefined || isServedVersion(current)) &&
		(order === undefined ||
			(isObject(order) &&
				isRolloutName(order.to) &&
				isRolloutDuration(order.durationMs) &&
				isAge(order.ageMs) &&
				STAGES.has(order.stage) &&
				isStep(order.step)))
	);
}

/** Encodes the decisions for a snapshot or a message. */
export function encodeRollouts(
	state: RolloutState,
): ReadonlyArray<readonly [string, ServiceRollout]> {
	return [...state];
}

/** Decodes what `encodeRollouts` returned; what can't be read is left out. */
export function decodeRollouts(value: unknown): RolloutState {
	const listed: readonly unknown[] = Array.isArray(value) ? value : [];
	return new Map(
		listed.flatMap((item) => {
			const [service, rollout] = (Array.isArray(item) ? item : []) as unknown[];
			return isRolloutName(service) && isServiceRollout(rollout)
				? [[service, rollout] as const]
				: [];
		}),
	);
}
