import {type AttemptFailure, isRepeatable} from '@lovagevalve/dispatch';
import {startDeadline} from '@lovagevalve/runtime';
import {type AttemptTarget, describeTarget} from './attempt-target.js';
import {openExchange, type ExchangeRequest} from './backend-exchange.js';
import {type CollectedResponse, collectResponse} from './collected-response.js';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';

/** Result of one attempt at a backend server. */
export type AttemptOutcome =
	CollectedResponse | Readonly<{kind: 'ended'; reason: 'left' | 'timeout'}>;

/**
 * A repeatable request is retried elsewhere after this multiple of its latency
 * target.
 */
const SLOW_ATTEMPT_FACTOR = 1.4;

/** Target and timeout of one attempt. */
export type AttemptPlan = Readonly<{
	target: AttemptTarget;
	/** The attempt is cancelled if it is not settled by then. */
	timeoutMs: number;
	/** Outcome of the attempt when the timeout expires. */
	timeoutOutcome: AttemptOutcome;
}>;

/** Sends a request without retries. */
export async function runAttempt(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{target, timeoutMs, timeoutOutcome}: AttemptPlan,
): Promise<AttemptOutcome> {
	const sentAt = ctx.clock.now();
	const {guard} = req;
	if (req.res.destroyed) {
		return {kind: 'ended', reason: 'left'};
	}

	const request: ExchangeRequest = {
		...describeTarget(ctx, req, target),
		method: req.method,
		path: req.path,
		body: req.body,
	};
	return new Promise((resolve) => {
		let isSettled = false;
		const settle = (outcome: AttemptOutcome): void => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			cancelDeadline();
			req.res.off('close', onCallerClosed);
			resolve(outcome);
		};

		const onCallerClosed = (): void => {
			settle({kind: 'ended', reason: 'left'});
			exchange.cancel();
		};

		const cancelDeadline = startDeadline(
			timeoutMs,
			guard.wrap(() => {
				settle(timeoutOutcome);
				exchange.cancel();
			}),
		);
		guard.addCleanup(onCallerClosed);
		req.res.once('close', onCallerClosed);
		const exchange = openExchange(request, {
			onResponse: guard.wrap((response) => {
				guard.watch(response);
				collectResponse(ctx, req, {target, sentAt, response}, settle);
			}),
			onFailure: guard.wrap((failure) => {
				settle({kind: 'failure', failure});
			}),
		});
	});
}

/**
 * Plans an attempt; one that may be retried times out before the request's
 * deadline.
 */
export function planAttempt(
	ctx: GatewayContext,
	req: AcceptedRequest,
	target: AttemptTarget,
	sent: number,
): AttemptPlan {
	const {route} = req;
	const timeoutMs = Math.max(1, readRemainingMs(ctx, req));
	const slowTimeoutMs = route.latencyTargetMs * SLOW_ATTEMPT_FACTOR;
	const canRetryWhenSlow =
		target.kind === 'backend' &&
		isRepeatable(route.kind, route.isResumable) &&
		sent + 1 < route.maxAttempts &&
		slowTimeoutMs < timeoutMs / 2;
	const failure: AttemptFailure = {kind: 'failed', reason: 'too slow'};
	return canRetryWhenSlow
		? {
				target,
				timeoutMs: slowTimeoutMs,
				timeoutOutcome: {kind: 'failure', failure},
			}
		: {
				target,
				timeoutMs,
				timeoutOutcome: {kind: 'ended', reason: 'timeout'},
			};
}
