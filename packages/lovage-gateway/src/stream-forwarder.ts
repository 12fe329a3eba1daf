import type {AttemptFailure} from '@lovagevalve/dispatch';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {createNextRun} from './next-run.js';
import {createRunSender} from './run-sender.js';
import {createRunStart} from './run-start.js';
import {createRunWatch} from './run-watch.js';
import {createStreamAttempts} from './stream-attempts.js';
import {createStreamDelivery} from './stream-delivery.js';
import {createStreamEnding} from './stream-ending.js';
import {createEventRelay} from './stream-events.js';
import {createStreamPlacement} from './stream-placement.js';
import {createStreamResponses} from './stream-responses.js';
import type {Run} from './stream-run.js';

/**
 * Relays a stream and resumes it at other backend servers until it is complete.
 */
export type StreamRelay = Readonly<{
	/** Sends the request; `onEnd` may be called before this returns. */
	start: () => void;
	/** Checks the run for silence; called several times a second. */
	tick: () => void;
}>;

/**
 * Creates the relay for a request with an event stream as response; `onEnd` is
 * called once.
 */
export function createStreamRelay(
	ctx: GatewayContext,
	req: AcceptedRequest,
	onEnd: () => void,
): StreamRelay {
	const {res, guard} = req;
	const delivery = createStreamDelivery(ctx, req);
	const attempts = createStreamAttempts(ctx, req, delivery);
	const placement = createStreamPlacement(ctx, req, attempts);
	const onFailure = (run: Run, failure: AttemptFailure): void => {
		nextRun.follow(run, failure);
	};

	const ending = createStreamEnding(ctx, req, {
		delivery,
		attempts,
		readRun: () => sender.readRun(),
		onEnd() {
			clearTimeout(deadlineTimer);
			starts.cancel();
			sender.close();
			onEnd();
		},
	});
	const events = createEventRelay(ctx, req, delivery, {
		onDelivered: placement.bind,
		onComplete: ending.complete,
		onFailure,
	});
	const responses = createStreamResponses(ctx, req, {
		delivery,
		attempts,
		events,
		ending,
		onFailure,
	});
	const sender = createRunSender(ctx, req, {
		delivery,
		attempts,
		placement,
		events,
		onResponse: responses.handle,
		onFailure,
	});
	const starts = createRunStart(ctx, req, {
		delivery,
		attempts,
		placement,
		sender,
		ending,
	});
	const nextRun = createNextRun(ctx, req, {
		delivery,
		attempts,
		placement,
		sender,
		starts,
		ending,
	});
	const watch = createRunWatch(ctx, req, {
		delivery,
		attempts,
		onSilent: onFailure,
	});

	const deadlineTimer = setTimeout(
		guard.wrap(() => {
			ending.abort(504, 'timeout');
		}),
		Math.max(1, readRemainingMs(ctx, req)),
	);
	guard.addCleanup(ending.finish);
	res.once('close', ending.leave);
	return {
		start: guard.wrap(() => {
			starts.start();
		}),
		tick: guard.wrap(() => {
			const run = sender.readRun();
			if (run !== undefined) {
				watch.check(run);
			}
		}),
	};
}
