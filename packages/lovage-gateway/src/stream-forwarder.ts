import type {IncomingMessage} from 'node:http';
import {
	type AttemptFailure,
	type BackendRecord,
	isRepeatable,
} from '@lovagevalve/dispatch';
import {openExchangeAccount} from '@lovagevalve/runtime';
import {
	chooseRetryAfterMs,
	endWithProblem,
	recordCompletion,
} from './responses.js';
import {findAnswerFailure} from './answer-reader.js';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {createKvBackup, NO_BACKUP} from './kv-backup.js';
import {
	chooseRelayPeer,
	createPeerRecord,
	createRelayHeaders,
} from './peer-relay.js';
import {createRunWatch} from './run-watch.js';
import {createStreamAttempts} from './stream-attempts.js';
import {createStreamDelivery} from './stream-delivery.js';
import {createEventRelay} from './stream-events.js';
import {createStreamPlacement, type StreamTarget} from './stream-placement.js';
import {type BodyListener, readErrorBody} from './stream-reader.js';
import {
	createNoReservation,
	createRun,
	describeRun,
	describeRunHolder,
	type PreviousRun,
	type Run,
} from './stream-run.js';

/**
 * Relays a stream and resumes it at other backend servers until it is complete.
 */
export type StreamRelay = Readonly<{
	/** Sends the request; `onEnd` may be called before this returns. */
	start: () => void;
	/** Checks the run for silence; called several times a second. */
	tick: () => void;
}>;

const HTTP_OK = 200;
/**
 * Delay before a started stream is sent again when no backend server was
 * available.
 */
const RESEND_DELAY_MS = 200;

/**
 * Creates the relay for a request with an event stream as response; `onEnd` is
 * called once.
 */
export function createStreamRelay(
	ctx: GatewayContext,
	req: AcceptedRequest,
	onEnd: () => void,
): StreamRelay {
	const {route, service, res, metadata, guard} = req;
	const canRepeat = isRepeatable(route.kind, route.isResumable);
	let run: Run | undefined;
	const delivery = createStreamDelivery(ctx, req);
	let isEnded = false;
	const attempts = createStreamAttempts(ctx, req, delivery);
	let resendTimer: NodeJS.Timeout | undefined;
	const placement = createStreamPlacement(ctx, req, attempts);

	const closeRun = (): void => {
		if (run !== undefined && !run.isClosed) {
			run.isClosed = true;
			run.exchange?.cancel();
			run.reservation.release();
		}
	};

	const finish = (): void => {
		if (!isEnded) {
			isEnded = true;
			clearTimeout(deadlineTimer);
			clearTimeout(resendTimer);
			closeRun();
			onEnd();
		}
	};

	const record = (status: number, reason: string): void => {
		recordCompletion(ctx, req, {
			status,
			reason,
			sent: attempts.countSent(),
			backend: run?.backend.id,
			details: {moves: attempts.countMoves(), ...delivery.readTimings()},
		});
	};

	/** Aborts a stream that cannot be completed. */
	const abort = (status: 502 | 503 | 504, reason: string): void => {
		if (isEnded) {
			return;
		}

		if (delivery.hasBegun()) {
			record(status, reason);
			delivery.abort();
		} else {
			const retryAfterMs =
				status === 503 ? chooseRetryAfterMs(ctx, req) : undefined;
			endWithProblem(
				ctx,
				req,
				{status, reason, retryAfterMs},
				attempts.countSent(),
			);
		}

		finish();
	};

	const events = createEventRelay(ctx, req, delivery, {
		onDelivered: placement.bind,
		onComplete(current, response) {
			record(HTTP_OK, attempts.countMoves() > 0 ? 'moved' : 'backend server');
			ctx.crashes.recordSound(req);
			current.kvBackup.release();
			delivery.complete(response);
			finish();
		},
		onFailure(current, failure) {
			handleRunFailure(current, failure);
		},
	});

	/** Forwards an error response of the backend server. */
	const forwardError = (current: Run, response: IncomingMessage): void => {
		const holder = describeRunHolder(current);
		const account = openExchangeAccount(ctx.buffers, holder, res);
		const listener: BodyListener = {
			onComplete(body) {
				if (!current.isClosed && !isEnded) {
					record(response.statusCode ?? 0, 'backend server');
					delivery.forwardError(response, body);
					finish();
				}
			},
			onLost(failure) {
				handleRunFailure(current, failure);
			},
		};
		readErrorBody(response, listener, account);
	};

	const handleResponse = (current: Run, response: IncomingMessage): void => {
		if (current.isClosed) {
			response.destroy();
			return;
		}

		const status = response.statusCode ?? 0;
		if (current.isRelayed) {
			handleRelayedResponse(current, response);
			return;
		}

		const failure = findAnswerFailure(ctx, describeRun(req, current), response);
		if (failure !== undefined) {
			handleRunFailure(current, failure);
		} else if (status === HTTP_OK) {
			events.relay(current, response);
		} else if (
			delivery.hasBegun() ||
			(status >= 500 && canRepeat && attempts.countSent() < route.maxAttempts)
		) {
			handleRunFailure(current, {kind: 'failed', reason: String(status)});
		} else {
			forwardError(current, response);
		}
	};

	/** Handles the answer of another entry. */
	const handleRelayedResponse = (
		current: Run,
		response: IncomingMessage,
	): void => {
		const status = response.statusCode ?? 0;
		const failure = findAnswerFailure(ctx, describeRun(req, current), response);
		if (failure !== undefined) {
			handleRunFailure(current, failure);
		} else if (status === HTTP_OK) {
			events.relay(current, response);
		} else if (delivery.hasBegun()) {
			handleRunFailure(current, {kind: 'failed', reason: String(status)});
		} else {
			forwardError(current, response);
		}
	};

	const send = (current: Run, headers: string[]): void => {
		run = current;
		attempts.recordStart(current.backend);
		current.exchange = placement.openExchange(
			current,
			{
				address: current.address,
				method: req.method,
				path: req.path,
				headers,
				body: req.body,
			},
			{
				onResponse: guard.wrap((response) => {
					guard.watch(response);
					handleResponse(current, response);
				}),
				onFailure: guard.wrap((failure) => {
					handleRunFailure(current, failure);
				}),
			},
		);
	};

	const startAtPeer = (peer: string): void => {
		ctx.metrics.count('relayed_requests', {outcome: 'stream'});
		ctx.log.info('Sending a stream on to another entry.', {
			request: metadata.id,
			peer,
			lastEventId: delivery.readLastEventId() ?? '',
		});
		const backend = createPeerRecord(peer, service.name);
		send(
			{
				...createRun(ctx, backend, peer),
				isRelayed: true,
				kvBackup: NO_BACKUP,
				hasCopy: false,
				reservation: createNoReservation(backend),
			},
			createRelayHeaders(ctx, req, {
				lastEventId: delivery.readLastEventId(),
				resumeId: events.readResumeId(),
			}),
		);
	};

	const start = (previous?: PreviousRun): void => {
		const lastEventId = delivery.readLastEventId();
		const target = placement.choose(previous, lastEventId !== undefined);
		switch (target.kind) {
			case 'backend': {
				startAtBackend(target, previous);
				break;
			}

			case 'peer': {
				startAtPeer(target.address);
				break;
			}

			case 'none': {
				scheduleResend('no backend server is known');
				break;
			}

			case 'stranded': {
				abort(502, 'no other entry takes the stream over');
				break;
			}
		}
	};

	const startAtBackend = (
		{backend, kvCopy, work}: Extract<StreamTarget, {kind: 'backend'}>,
		previous: PreviousRun | undefined,
	): void => {
		const backupTarget = placement.chooseBackupTarget(backend);
		const address = ctx.resolveAddress(backend);
		const headers = ctx.codec.createBackendHeaders(req.rawHeaders, {
			backend: backend.id,
			customer: req.customer,
			remainingMs: readRemainingMs(ctx, req),
			backupAddress: backupTarget?.address,
			lastEventId: events.readResumeId(),
			copy: kvCopy?.copy,
			bodyLength: req.body?.length,
		});
		const current: Run = {
			...createRun(ctx, backend, address),
			kvBackup: createKvBackup({
				ctx,
				guard,
				requestId: metadata.id,
				backend,
				initialBackupTarget: backupTarget,
				canCopy: canRepeat && service.engine?.canCopy === true,
				chooseBackupTarget: () => placement.chooseBackupTarget(backend),
			}),
			hasCopy: kvCopy !== undefined,
			reservation: ctx.view.reserve(backend, work),
		};
		send(current, headers);
		if (previous !== undefined) {
			ctx.log.info('Started a new attempt for a stream.', {
				request: metadata.id,
				from: previous.backend.id,
				to: backend.id,
				fromVersion: previous.backend.softwareVersion ?? '',
				toVersion: backend.softwareVersion ?? '',
				hasCopy: kvCopy !== undefined,
				lastEventId: delivery.readLastEventId() ?? '',
			});
		}
	};

	/** Ends a stream that this entry can't place, unless another entry takes it over. */
	const relayOrAbort = async (
		status: 502 | 503,
		reason: string,
	): Promise<void> => {
		const isCutOff = await ctx.reach.confirm(service.name);
		const peer = chooseRelayPeer(ctx, req, attempts.listExcluded());
		if (isEnded) {
			return;
		}

		if (isCutOff && peer !== undefined) {
			startAtPeer(peer);
		} else {
			abort(status, reason);
		}
	};

	/**
	 * A stream with events waits for a backend server of its software version; a new
	 * one is rejected.
	 */
	const scheduleResend = (reason: string): void => {
		const status = delivery.hasBegun() || attempts.hasRun() ? 502 : 503;
		if (!placement.isBound()) {
			void guard.settle(relayOrAbort(status, reason));
			return;
		}

		const decision = placement.decideUnplaced();
		if (decision === 'give-up') {
			abort(status, "no backend server of the stream's version takes it");
			return;
		}

		attempts.clearExcluded();
		resendTimer = setTimeout(
			guard.wrap(() => {
				if (!isEnded) {
					start();
				}
			}),
			RESEND_DELAY_MS,
		);
	};

	const handleRunFailure = (current: Run, failure: AttemptFailure): void => {
		if (current.isClosed || isEnded) {
			return;
		}

		closeRun();
		attempts.recordFailure(current, failure);
		decideNextRun(current, failure);
	};

	/** Starts the next run after a failed one, waits for the budget, or gives up. */
	const decideNextRun = (
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
				request: metadata.id,
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
				start({
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

				resendTimer = setTimeout(
					guard.wrap(() => {
						if (!isEnded) {
							decideNextRun(failed, failure, true);
						}
					}),
					RESEND_DELAY_MS,
				);
				break;
			}

			case 'refuse': {
				void guard.settle(
					relayOrAbort(delivery.hasBegun() ? 502 : 503, failure.reason),
				);
				break;
			}

			case 'fail': {
				abort(502, failure.reason);
				break;
			}
		}
	};

	const watch = createRunWatch(ctx, req, {
		delivery,
		attempts,
		onSilent: handleRunFailure,
	});

	const deadlineTimer = setTimeout(
		guard.wrap(() => {
			abort(504, 'timeout');
		}),
		Math.max(1, readRemainingMs(ctx, req)),
	);
	guard.addCleanup(finish);
	res.once('close', () => {
		if (!isEnded) {
			record(499, 'the caller left');
			finish();
		}
	});
	return {
		start: guard.wrap(() => {
			start();
		}),
		tick: guard.wrap(() => {
			if (run !== undefined) {
				watch.check(run);
			}
		}),
	};
}
