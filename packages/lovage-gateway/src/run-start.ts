import type {AcceptedRequest, GatewayContext} from './context.js';
import {chooseRelayPeer} from './peer-relay.js';
import type {RunSender} from './run-sender.js';
import type {StreamAttempts} from './stream-attempts.js';
import type {StreamDelivery} from './stream-delivery.js';
import type {StreamEnding} from './stream-ending.js';
import type {StreamPlacement, StreamTarget} from './stream-placement.js';
import type {PreviousRun} from './stream-run.js';

/** Starts the runs of one stream, and waits while none can be placed. */
export type RunStart = Readonly<{
	/** Starts the first run, or the one after `previous`. */
	start: (previous?: PreviousRun) => void;
	/** Goes on after a pause, unless the stream ends meanwhile. */
	wait: (next: () => void) => void;
	/** Ends a stream that this entry can't place, unless another entry takes it over. */
	relayOrAbort: (status: 502 | 503, reason: string) => void;
	/** Ends the wait. */
	cancel: () => void;
}>;

/** What the start of a run needs of the stream. */
export type RunStartOptions = Readonly<{
	delivery: Pick<
		StreamDelivery,
		'hasBegun' | 'readLastEventId' | 'readDeliveringMs'
	>;
	attempts: Pick<StreamAttempts, 'listExcluded' | 'hasRun' | 'clearExcluded'>;
	placement: Pick<StreamPlacement, 'choose' | 'isBound' | 'decideUnplaced'>;
	sender: Pick<RunSender, 'sendToBackend' | 'sendToPeer'>;
	ending: Pick<StreamEnding, 'isEnded' | 'abort'>;
}>;

/**
 * Delay before a started stream is sent again when no backend server was
 * available.
 */
const RESEND_DELAY_MS = 200;
const NO_BACKEND = 'no backend server is known';

/** Creates the start of the runs of a stream. */
export function createRunStart(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{delivery, attempts, placement, sender, ending}: RunStartOptions,
): RunStart {
	const {service, guard} = req;
	let resendTimer: NodeJS.Timeout | undefined;
	let leaveQueue: (() => void) | undefined;

	const wait = (next: () => void): void => {
		resendTimer = setTimeout(
			guard.wrap(() => {
				if (!ending.isEnded()) {
					next();
				}
			}),
			RESEND_DELAY_MS,
		);
	};

	const confirmCutOff = async (
		status: 502 | 503,
		reason: string,
	): Promise<void> => {
		const isCutOff = await ctx.reach.confirm(service.name);
		const peer = chooseRelayPeer(ctx, req, attempts.listExcluded());
		if (ending.isEnded()) {
			return;
		}

		if (isCutOff && peer !== undefined) {
			sender.sendToPeer(peer);
		} else {
			ending.abort(status, reason);
		}
	};

	const relayOrAbort = (status: 502 | 503, reason: string): void => {
		void guard.settle(confirmCutOff(status, reason));
	};

	/**
	 * A stream with events waits for a backend server of its software version; a new
	 * one is rejected.
	 */
	const scheduleResend = (reason: string): void => {
		const status = delivery.hasBegun() || attempts.hasRun() ? 502 : 503;
		if (!placement.isBound()) {
			relayOrAbort(status, reason);
			return;
		}

		const decision = placement.decideUnplaced();
		if (decision === 'give-up') {
			ending.abort(
				status,
				"no backend server of the stream's version takes it",
			);
			return;
		}

		attempts.clearExcluded();
		wait(() => {
			start();
		});
	};

	/** Waits for room at an engine, which ends at the latest with the stream. */
	const enqueue = (
		{work, place}: Extract<StreamTarget, {kind: 'queue'}>,
		previous: PreviousRun | undefined,
	): void => {
		const mayHaveRun =
			attempts.hasRun() || delivery.hasBegun() || req.origin !== undefined;
		leaveQueue = ctx.admission?.enqueue(service, {
			id: req.metadata.id,
			priority: req.priority,
			customer: req.customer ?? '',
			arrivedAt: req.startedAt,
			targetAt: req.startedAt + req.route.latencyTargetMs,
			deadlineAt: req.deadlineAt,
			...(mayHaveRun ? {resumedAfterMs: delivery.readDeliveringMs()} : {}),
			placement: work,
			onStart: guard.wrap((backend) => {
				follow(place(backend), previous);
			}),
			onRefused: guard.wrap((reason, retryAfterMs) => {
				ending.abort(503, reason, retryAfterMs);
			}),
			onUnplaceable: guard.wrap(() => {
				scheduleResend(NO_BACKEND);
			}),
		});
	};

	const start = (previous?: PreviousRun): void => {
		const hasEvents = delivery.readLastEventId() !== undefined;
		follow(placement.choose(previous, hasEvents), previous);
	};

	const follow = (
		target: StreamTarget,
		previous: PreviousRun | undefined,
	): void => {
		switch (target.kind) {
			case 'backend': {
				sender.sendToBackend(target, previous);
				break;
			}

			case 'queue': {
				enqueue(target, previous);
				break;
			}

			case 'peer': {
				sender.sendToPeer(target.address);
				break;
			}

			case 'none': {
				scheduleResend(NO_BACKEND);
				break;
			}

			case 'stranded': {
				ending.abort(502, 'no other entry takes the stream over');
				break;
			}
		}
	};

	return {
		start,
		wait,
		relayOrAbort,
		cancel() {
			clearTimeout(resendTimer);
			leaveQueue?.();
		},
	};
}
