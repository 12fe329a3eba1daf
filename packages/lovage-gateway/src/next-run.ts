import type {AttemptFailure} from '@lovagevalve/dispatch';
import type {AcceptedRequest, GatewayContext} from './context.js';
import {recordFailedRun} from './rollout-outcomes.js';
import type {RunSender} from './run-sender.js';
import type {RunStart} from './run-start.js';
import type {StreamAttempts} from './stream-attempts.js';
import type {StreamDelivery} from './stream-delivery.js';
import type {StreamEnding} from './stream-ending.js';
import type {StreamPlacement} from './stream-placement.js';
import type {Run} from './stream-run.js';

/** What follows the failed runs of one stream. */
export type NextRun = Readonly<{
	/** Closes a run that failed, and starts the next one, waits or gives up. */
	follow: (failed: Run, failure: AttemptFailure) => void;
}>;

/** What the decision on the next run needs of the stream. */
export type NextRunOptions = Readonly<{
	delivery: Pick<StreamDelivery, 'hasBegun' | 'readLastEventId'>;
	attempts: Pick<StreamAttempts, 'countSent' | 'decideNext' | 'recordFailure'>;
	placement: Pick<StreamPlacement, 'isBound'>;
	sender: Pick<RunSender, 'close'>;
	starts: Pick<RunStart, 'start' | 'wait' | 'relayOrAbort'>;
	ending: Pick<StreamEnding, 'isEnded' | 'abort'>;
}>;

/** Creates what follows the failed runs of a stream. */
export function createNextRun(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{delivery, attempts, placement, sender, starts, ending}: NextRunOptions,
): NextRun {
	/** Starts the next run after a failed one, waits for the budget, or gives up. */
	const decide = (
		failed: Run,
		failure: AttemptFailure,
		hasWaited = false,
	): void => {
		const {backend, kvBackup} = failed;
		// The copy is gone, but this backend server is still the best choice unless
		// it wants no requests.
		const shouldRetryWithoutCopy =
			failed.hasCopy &&
			failure.kind === 'rejected' &&
			ctx.view.readAvailability(backend.id) === 'usable';
		const decision = attempts.decideNext(
			failed,
			failure,
			shouldRetryWithoutCopy,
		);
		if (!hasWaited || decision.kind !== 'wait') {
			ctx.log.warn('Stream attempt failed.', {
				request: req.metadata.id,
				backend: backend.id,
				failure: failure.kind,
				reason: failure.reason,
				sent: attempts.countSent(),
				decision: decision.kind,
				lastEventId: delivery.readLastEventId() ?? '',
			});
		}

		// A run that did not start has left no copy, and one whose answer was held back
		// may have left that of another version.
		const hasLeftCopy =
			(failure.kind === 'lost' || failure.kind === 'failed') &&
			(failed.startedAt !== undefined || !placement.isBound());
		switch (decision.kind) {
			case 'retry': {
				starts.start({
					backend,
					kvCopy: hasLeftCopy ? kvBackup.findCopy() : undefined,
					shouldRetryWithoutCopy,
				});
				break;
			}

			case 'wait': {
				if (!hasWaited) {
					ctx.metrics.count('retries_postponed');
				}

				starts.wait(() => {
					decide(failed, failure, true);
				});
				break;
			}

			case 'refuse': {
				starts.relayOrAbort(delivery.hasBegun() ? 502 : 503, failure.reason);
				break;
			}

			case 'fail': {
				ending.abort(502, failure.reason);
				break;
			}
		}
	};

	return {
		follow(failed, failure) {
			if (failed.isClosed || ending.isEnded()) {
				return;
			}

			sender.close();
			recordFailedRun(ctx, req, failed, failure);
			attempts.recordFailure(failed, failure);
			decide(failed, failure);
		},
	};
}
