import type {IncomingMessage} from 'node:http';
import {type AttemptFailure, isRepeatable} from '@lovagevalve/dispatch';
import {openExchangeAccount} from '@lovagevalve/runtime';
import {findAnswerFailure} from './answer-reader.js';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {StreamAttempts} from './stream-attempts.js';
import type {StreamDelivery} from './stream-delivery.js';
import type {StreamEnding} from './stream-ending.js';
import type {EventRelay} from './stream-events.js';
import {type BodyListener, readErrorBody} from './stream-reader.js';
import {describeRun, describeRunHolder, type Run} from './stream-run.js';

/** Handles the responses to the runs of one stream. */
export type StreamResponses = Readonly<{
	handle: (run: Run, response: IncomingMessage) => void;
}>;

/** What the handling of responses needs of the stream. */
export type StreamResponsesOptions = Readonly<{
	delivery: Pick<StreamDelivery, 'hasBegun'>;
	attempts: Pick<StreamAttempts, 'countSent'>;
	events: Pick<EventRelay, 'relay'>;
	ending: Pick<StreamEnding, 'isEnded' | 'forwardError'>;
	/** The response is none for the caller. */
	onFailure: (run: Run, failure: AttemptFailure) => void;
}>;

const HTTP_OK = 200;

/** Creates the handling of the responses of one stream. */
export function createStreamResponses(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{delivery, attempts, events, ending, onFailure}: StreamResponsesOptions,
): StreamResponses {
	const {route, res} = req;
	const canRepeat = isRepeatable(route.kind, route.isResumable);

	/** Forwards an error response of the backend server. */
	const forwardError = (run: Run, response: IncomingMessage): void => {
		const holder = describeRunHolder(run);
		const account = openExchangeAccount(ctx.buffers, holder, res);
		const listener: BodyListener = {
			onComplete(body) {
				if (!run.isClosed && !ending.isEnded()) {
					ending.forwardError(response, body);
				}
			},
			onLost(failure) {
				onFailure(run, failure);
			},
		};
		readErrorBody(response, listener, account);
	};

	/** Handles the answer of another entry. */
	const handleRelayed = (run: Run, response: IncomingMessage): void => {
		const status = response.statusCode ?? 0;
		const failure = findAnswerFailure(ctx, describeRun(req, run), response);
		if (failure !== undefined) {
			onFailure(run, failure);
		} else if (status === HTTP_OK) {
			events.relay(run, response);
		} else if (delivery.hasBegun()) {
			onFailure(run, {kind: 'failed', reason: String(status)});
		} else {
			forwardError(run, response);
		}
	};

	return {
		handle(run, response) {
			if (run.isClosed) {
				response.destroy();
				return;
			}

			const status = response.statusCode ?? 0;
			if (run.isRelayed) {
				handleRelayed(run, response);
				return;
			}

			const failure = findAnswerFailure(ctx, describeRun(req, run), response);
			if (failure !== undefined) {
				onFailure(run, failure);
			} else if (status === HTTP_OK) {
				events.relay(run, response);
			} else if (
				delivery.hasBegun() ||
				(status >= 500 && canRepeat && attempts.countSent() < route.maxAttempts)
			) {
				onFailure(run, {kind: 'failed', reason: String(status)});
			} else {
				forwardError(run, response);
			}
		},
	};
}
