import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	addRepeated,
	type AttemptFailure,
	chooseResumeId,
	classifyPart,
	createEventCredit,
	decideStreamEnd,
	findStreamFlood,
	isStreamAnswer,
	NO_PROGRESS,
	type RepeatedEvents,
	spendEvent,
	type StreamProgress,
} from '@lovagevalve/dispatch';
import {isInStartWindow} from '@lovagevalve/quarantine';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {StreamEvent} from './event-splitter.js';
import {recordFirstEvent} from './rollout-outcomes.js';
import type {StreamDelivery} from './stream-delivery.js';
import {type EventReader, readEvents} from './stream-reader.js';
import {describeRunHolder, type Run} from './stream-run.js';

/** What becomes of a run whose answer is relayed. */
export type EventRelayListener = Readonly<{
	/** An event or a comment was delivered. */
	onDelivered: (run: Run) => void;
	/** The stream is complete. */
	onComplete: (run: Run, response: IncomingMessage) => void;
	/** The run ended before the stream was complete. */
	onFailure: (run: Run, failure: AttemptFailure) => void;
}>;

/** Relays the events of the runs of one stream. */
export type EventRelay = Readonly<{
	/** Relays the answer of a run, if it is a stream. */
	relay: (run: Run, response: IncomingMessage) => void;
	/** The event behind which the next run begins. */
	readResumeId: () => string | undefined;
}>;

const MAX_LOGGED_LENGTH = 40;

/** Creates the relay of a stream that has not run yet. */
export function createEventRelay(
	ctx: GatewayContext,
	req: AcceptedRequest,
	delivery: StreamDelivery,
	{onDelivered, onComplete, onFailure}: EventRelayListener,
): EventRelay {
	/** Last event of the caller when a run ended without a new one. */
	let quietBehind: string | undefined;
	const {outputTokens} = req.metadata;
	let repeated: RepeatedEvents = 'none';
	let progress: StreamProgress = NO_PROGRESS;
	let credit = createEventCredit(outputTokens, ctx.clock.now());
	let reader: EventReader | undefined;

	const readResumeId = (): string | undefined => {
		const lastEventId = delivery.readLastEventId();
		return chooseResumeId(lastEventId, quietBehind === lastEventId);
	};

	/** Leaves a run whose answer does not belong to the stream. */
	const leaveForeign = (run: Run, reason: string, answer: string): void => {
		ctx.metrics.count('foreign_stream_answers');
		ctx.log.warn('An answer does not belong to its stream.', {
			request: req.metadata.id,
			backend: run.backend.id,
			reason,
			answer: answer.slice(0, MAX_LOGGED_LENGTH),
			lastEventId: delivery.readLastEventId() ?? '',
		});
		onFailure(run, {kind: 'failed', reason});
	};

	const recordProgress = (run: Run): void => {
		ctx.view.speeds.recordEvent(run);
		run.lastEventAt = ctx.clock.now();
		if (run.startedAt === undefined) {
			run.startedAt = run.lastEventAt;
			run.reservation.markPrefilled();
			recordFirstEvent(ctx, req, run);
			ctx.view.reportHealth(run.backend, 'answered');
		} else if (
			!run.isSound &&
			!isInStartWindow(run.lastEventAt - run.startedAt)
		) {
			run.isSound = true;
			ctx.crashes.recordSound(req);
		}
	};

	const deliver = (
		run: Run,
		response: IncomingMessage,
		event: StreamEvent,
	): void => {
		delivery.deliver(response, event, () => {
			run.lastEventAt = ctx.clock.now();
			reader?.advance();
		});
		onDelivered(run);
	};

	const recordIdle = ({bytes}: StreamEvent): void => {
		progress = {
			...progress,
			idleParts: progress.idleParts + 1,
			idleBytes: progress.idleBytes + bytes.length,
		};
	};

	/** Leaves a run that sends more than an answer can hold. */
	const leaveFlood = (run: Run): void => {
		const reason = findStreamFlood(progress, credit);
		if (reason !== undefined && !run.isClosed) {
			onFailure(run, {kind: 'lost', reason, isFlood: true});
		}
	};

	const handleEvent = (
		run: Run,
		response: IncomingMessage,
		event: StreamEvent,
	): void => {
		switch (classifyPart(event, delivery.readLastEventId())) {
			case 'next': {
				progress = {...progress, newEvents: progress.newEvents + 1};
				credit = spendEvent(credit, outputTokens, ctx.clock.now());
				deliver(run, response, event);
				recordProgress(run);
				break;
			}

			// A stalled engine may go on sending comments or repeat what it has sent.
			case 'comment': {
				recordIdle(event);
				deliver(run, response, event);
				break;
			}

			case 'known': {
				recordIdle(event);
				repeated = addRepeated(repeated, event.id!, delivery.readLastEventId());
				break;
			}

			case 'foreign': {
				const text = Buffer.from(event.bytes).toString('latin1');
				leaveForeign(run, 'bytes that are no event of the stream', text);
				break;
			}
		}
	};

	const handleEnd = (run: Run, response: IncomingMessage): void => {
		const lastEventId = delivery.readLastEventId();
		const resumeId = readResumeId();
		const hasNewEvent = run.startedAt !== undefined;
		const decision = decideStreamEnd({
			hasNewEvent,
			lastEventId,
			resumeId,
			repeated,
		});
		if (!hasNewEvent) {
			ctx.metrics.count('quiet_stream_ends', {decision});
			ctx.log.info('A run ended without a new event.', {
				request: req.metadata.id,
				backend: run.backend.id,
				lastEventId: lastEventId ?? '',
				resumedBehind: resumeId ?? '',
				decision,
			});
		}

		switch (decision) {
			case 'complete': {
				onComplete(run, response);
				break;
			}

			case 'ask-another': {
				quietBehind = lastEventId;
				const reason = 'the run ended without a new event';
				onFailure(run, {kind: 'failed', reason});
				break;
			}
		}
	};

	return {
		readResumeId,
		relay(run, response) {
			repeated = 'none';
			progress = NO_PROGRESS;
			credit = createEventCredit(outputTokens, ctx.clock.now());
			const contentType = response.headers['content-type'];
			if (!isStreamAnswer({status: response.statusCode ?? 0, contentType})) {
				leaveForeign(run, 'the answer is no event stream', contentType ?? '');
				return;
			}

			const account = ctx.buffers.open(describeRunHolder(run));
			response.once('close', account.release);
			response.on('data', () => {
				run.lastBytesAt = ctx.clock.now();
			});
			reader = readEvents(
				response,
				{
					isClosed: () => run.isClosed,
					isPaused: delivery.isPaused,
					onEvent(event) {
						// What waits for its turn has arrived, too, and nothing is read meanwhile.
						run.lastBytesAt = ctx.clock.now();
						handleEvent(run, response, event);
						leaveFlood(run);
					},
					onComplete() {
						handleEnd(run, response);
					},
					onLost(failure) {
						onFailure(run, failure);
					},
				},
				account,
			);
		},
	};
}
