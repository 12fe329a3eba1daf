import {type AttemptFailure, isRepeatable} from '@lovagevalve/dispatch';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {StreamAttempts} from './stream-attempts.js';
import type {StreamDelivery} from './stream-delivery.js';
import {
	evaluateSilence,
	isRunSending,
	probeRun,
	type Run,
} from './stream-run.js';

/** Watches the runs of one stream for silence. */
export type RunWatch = Readonly<{
	/** Checks a run; called several times a second while it is open. */
	check: (run: Run) => void;
}>;

/** What a watch needs of the stream. */
export type RunWatchOptions = Readonly<{
	delivery: Pick<StreamDelivery, 'isPaused' | 'readLastEventId'>;
	attempts: Pick<StreamAttempts, 'canReplaceRun'>;
	/** The run is silent for too long and is to be replaced. */
	onSilent: (run: Run, failure: AttemptFailure) => void;
}>;

/** Creates the watch of a stream. */
export function createRunWatch(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{delivery, attempts, onSilent}: RunWatchOptions,
): RunWatch {
	const {route, guard} = req;
	const canRepeat = isRepeatable(route.kind, route.isResumable);

	const isPossiblyAlive = ({probe, backend}: Run): boolean =>
		probe !== 'dead' && ctx.view.readAvailability(backend.id) !== 'unreachable';

	const probe = async (run: Run): Promise<void> => {
		await probeRun(ctx, run);
		check(run);
	};

	const check = (run: Run): void => {
		if (delivery.isPaused() || !canRepeat || run.isClosed) {
			return;
		}

		const hasEvents = delivery.readLastEventId() !== undefined;
		const silentMs = ctx.clock.now() - run.lastEventAt;
		switch (evaluateSilence(ctx, req, run, hasEvents)) {
			case 'wait': {
				if (run.startedAt !== undefined) {
					run.kvBackup.refresh();
				}

				if (run.probe === 'alive' && silentMs < route.gapTargetMs / 2) {
					run.probe = 'none';
				}

				break;
			}

			case 'probe': {
				void guard.settle(probe(run));
				break;
			}

			case 'move': {
				// A slow run is better than none.
				if (!isPossiblyAlive(run) || attempts.canReplaceRun()) {
					const reason = `silent for ${Math.round(silentMs)} ms, probe ${run.probe}`;
					// What goes on sending has not crashed.
					const kind = isRunSending(ctx, run) ? 'failed' : 'lost';
					onSilent(run, {kind, reason});
				}

				break;
			}
		}
	};

	return {check};
}
