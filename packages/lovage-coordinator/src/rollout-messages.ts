import {
	isRolloutDuration,
	isRolloutName,
	type RolloutOrder,
	type RolloutStage,
} from '@lovagevalve/rollout';
import {isJsonObject} from '@lovagevalve/runtime';
import {err, ok, type Result} from 'neverthrow';

/** An order to move the traffic of a service to another software version. */
export type RolloutRequest = Readonly<{
	service: string;
	to: string;
	durationMs: number;
}>;

/** Outcome of an order; `unavailable` if the group could not confirm it. */
export type RolloutRequestOutcome =
	| 'acknowledged'
	/** An order for another version of the service is running. */
	| 'conflicting'
	| 'unavailable';

/** Result of a linearizable read of the newest order of a service. */
export type RolloutReadOutcome =
	| Readonly<{kind: 'found'; order: Pick<RolloutOrder, 'to' | 'stage'>}>
	| Readonly<{kind: 'none'}>
	| Readonly<{kind: 'unavailable'}>;

const OUTCOMES: ReadonlySet<unknown> = new Set<RolloutRequestOutcome>([
	'acknowledged',
	'conflicting',
	'unavailable',
]);
const STAGES: ReadonlySet<unknown> = new Set<RolloutStage>([
	'running',
	'succeeded',
	'reverted',
]);

/** Checks an order that another instance passes on. */
export function decodeRolloutRequest(
	value: unknown,
): Result<RolloutRequest, string> {
	return isJsonObject(value) &&
		isRolloutName(value.service) &&
		isRolloutName(value.to) &&
		isRolloutDuration(value.durationMs)
		? ok({
				service: value.service,
				to: value.to,
				durationMs: value.durationMs,
			})
		: err('malformed order');
}

/** Checks the leader's answer to an order. */
export function decodeRolloutRequestOutcome(
	value: unknown,
): Result<RolloutRequestOutcome, string> {
	return isJsonObject(value) && OUTCOMES.has(value.outcome)
		? ok(value.outcome as RolloutRequestOutcome)
		: err('malformed outcome');
}

/** Checks a question for the newest order of a service. */
export function decodeRolloutQuestion(value: unknown): Result<string, string> {
	return isJsonObject(value) && isRolloutName(value.service)
		? ok(value.service)
		: err('malformed question');
}

/** Checks the leader's answer to such a question. */
export function decodeRolloutReadOutcome(
	value: unknown,
): Result<RolloutReadOutcome, string> {
	if (!isJsonObject(value)) {
		return err('malformed outcome');
	}

	const {kind, order} = value;
	if (kind === 'none' || kind === 'unavailable') {
		return ok({kind});
	}

	return kind === 'found' &&
		isJsonObject(order) &&
		isRolloutName(order.to) &&
		STAGES.has(order.stage)
		? ok({kind, order: {to: order.to, stage: order.stage as RolloutStage}})
		: err('malformed outcome');
}
