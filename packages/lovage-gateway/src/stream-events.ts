import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	type AttemptFailure,
	chooseResumeId,
	classifyPart,
	decideStreamEnd,
	isStreamAnswer,
} from '@lovagevalve/dispatch';
import {isInStartWindow} from '@lovagevalve/quarantine';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {StreamEvent} from './event-splitter.js';
import type {StreamDelivery} from './stream-delivery.js';
import {readEvents} from './stream-reader.js';
import type {Run} from './stream-run.js';

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
	const knownIds = new Set<string>();

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
		run.lastEventAt = ctx.clock.now();
		if (run.startedAt === undefined) {
			run.startedAt = run.lastEventAt;
			run.reservation.markPrefilled();
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
		});
		onDelivered(run);
	};

	const handleEvent = (
		run: Run,
		response: IncomingMessage,
		event: StreamEvent,
	): void => {
		switch (classifyPart(event, delivery.readLastEventId())) {
			case 'next': {
				deliver(run, response, event);
				recordProgress(run);
				break;
			}

			// A stalled engine may go on sending comments or repeat what it has sent.
			case 'comment': {
				deliver(run, response, event);
				break;
			}

			case 'known': {
				knownIds.add(event.id!);
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
			knownIds,
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
			knownIds.clear();
			const contentType = response.headers['content-type'];
			if (!isStreamAnswer({status: response.statusCode ?? 0, contentType})) {
				leaveForeign(run, 'the answer is no event stream', contentType ?? '');
				return;
			}

			readEvents(response, {
				isClosed: () => run.isClosed,
				onEvent(event) {
					handleEvent(run, response, event);
				},
				onComplete() {
					handleEnd(run, response);
				},
				onLost(reason) {
					onFailure(run, {kind: 'lost', reason});
				},
			});
		},
	};
}
