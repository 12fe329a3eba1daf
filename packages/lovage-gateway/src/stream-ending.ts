import type {IncomingMessage} from 'node:http';
import type {AcceptedRequest, GatewayContext} from './context.js';
import {
	chooseRetryAfterMs,
	endWithProblem,
	recordCompletion,
} from './responses.js';
import type {StreamAttempts} from './stream-attempts.js';
import type {StreamDelivery} from './stream-delivery.js';
import type {Run} from './stream-run.js';

/** The end of one stream, which comes once. */
export type StreamEnding = Readonly<{
	isEnded: () => boolean;
	/** Ends a stream that its caller has whole. */
	complete: (run: Run, response: IncomingMessage) => void;
	/** Ends it with an error response of a backend server. */
	forwardError: (response: IncomingMessage, body: Uint8Array) => void;
	/** Aborts a stream that cannot be completed. */
	abort: (
		status: 502 | 503 | 504,
		reason: string,
		retryAfterMs?: number,
	) => void;
	/** Ends a stream whose caller has closed the connection. */
	leave: () => void;
	/** Releases what the stream holds, without a record. */
	finish: () => void;
}>;

/** What an ending needs of the stream. */
export type StreamEndingOptions = Readonly<{
	delivery: StreamDelivery;
	attempts: Pick<StreamAttempts, 'countSent' | 'countMoves'>;
	/** The last run; undefined before the first one. */
	readRun: () => Run | undefined;
	/** Releases what the stream holds; called once. */
	onEnd: () => void;
}>;

const HTTP_OK = 200;

/** Creates the ending of a stream that goes on. */
export function createStreamEnding(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{delivery, attempts, readRun, onEnd}: StreamEndingOptions,
): StreamEnding {
	let isEnded = false;

	const finish = (): void => {
		if (!isEnded) {
			isEnded = true;
			onEnd();
		}
	};

	const record = (status: number, reason: string): void => {
		recordCompletion(ctx, req, {
			status,
			reason,
			sent: attempts.countSent(),
			backend: readRun()?.backend.id,
			details: {moves: attempts.countMoves(), ...delivery.readTimings()},
		});
	};

	return {
		isEnded: () => isEnded,
		complete(run, response) {
			record(HTTP_OK, attempts.countMoves() > 0 ? 'moved' : 'backend server');
			ctx.crashes.recordSound(req);
			run.kvBackup.release();
			delivery.complete(response);
			finish();
		},
		forwardError(response, body) {
			record(response.statusCode ?? 0, 'backend server');
			delivery.forwardError(response, body);
			finish();
		},
		abort(status, reason, chosenMs) {
			if (isEnded) {
				return;
			}

			if (delivery.hasBegun()) {
				record(status, reason);
				delivery.abort();
			} else {
				const retryAfterMs =
					status === 503
						? (chosenMs ?? chooseRetryAfterMs(ctx, req))
						: undefined;
				endWithProblem(
					ctx,
					req,
					{status, reason, retryAfterMs},
					attempts.countSent(),
				);
			}

			finish();
		},
		leave() {
			if (!isEnded) {
				record(499, 'the caller left');
				finish();
			}
		},
		finish,
	};
}
