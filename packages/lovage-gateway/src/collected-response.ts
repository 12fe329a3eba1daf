import type {IncomingMessage} from 'node:http';
import type {AttemptFailure, BackendRecord} from '@lovagevalve/dispatch';
import {
	createByteCollector,
	createChunkCount,
	openExchangeAccount,
} from '@lovagevalve/runtime';
import {
	describeHolder,
	findHeadFailure,
	type ReceivedHead,
} from './attempt-target.js';
import type {AcceptedRequest, GatewayContext} from './context.js';
import {watchResponseEnd} from './response-end.js';
import {createFlood} from './stream-reader.js';

/** A response that is fully buffered before any of it is sent to the caller. */
export type BufferedResponse = Readonly<{
	kind: 'answer';
	status: number;
	rawHeaders: readonly string[];
	body: Uint8Array;
}>;
/**
 * A response too large to buffer; `head` holds the first bytes, the rest is
 * piped.
 */
export type LargeResponse = Readonly<{
	kind: 'large';
	response: IncomingMessage;
	head: readonly Uint8Array[];
	/** Absent if another entry has sent it. */
	backend: BackendRecord | undefined;
}>;
/** What came of a response whose headers have arrived. */
export type CollectedResponse =
	| BufferedResponse
	| LargeResponse
	| Readonly<{
			kind: 'failure';
			failure: AttemptFailure;
			response?: BufferedResponse;
	  }>;

/**
 * Responses up to this size can be retried elsewhere when they are truncated.
 */
const MAX_BUFFERED_BYTES = 262_144;
const MIN_SERVER_ERROR = 500;

/**
 * Buffers a response; `settle` may be called more than once, and only the first
 * call counts.
 */
export function collectResponse(
	ctx: GatewayContext,
	req: AcceptedRequest,
	head: ReceivedHead,
	settle: (outcome: CollectedResponse) => void,
): void {
	const {target, response} = head;
	const status = response.statusCode ?? 0;
	const failure = findHeadFailure(ctx, req, head);
	if (failure !== undefined) {
		settle({kind: 'failure', failure});
		response.destroy();
		return;
	}

	const holder = describeHolder(target);
	const account = openExchangeAccount(ctx.buffers, holder, req.res);
	const collector = createByteCollector({
		account,
		maxBytes: MAX_BUFFERED_BYTES,
	});
	const findFragmentation = createChunkCount();
	const onData = (chunk: Uint8Array): void => {
		const reason = findFragmentation(chunk);
		if (reason !== undefined) {
			settle({kind: 'failure', failure: createFlood(reason)});
			account.release();
			response.destroy();
		} else if (collector.push(chunk) !== 'kept') {
			// What can't be buffered is passed on as fast as the caller reads.
			response.off('data', onData);
			response.pause();
			settle({
				kind: 'large',
				response,
				head: [collector.read(), chunk],
				backend: target.kind === 'backend' ? target.backend : undefined,
			});
		}
	};

	response.on('data', onData);
	watchResponseEnd(
		response,
		() => {
			const buffered: BufferedResponse = {
				kind: 'answer',
				status,
				rawHeaders: response.rawHeaders,
				body: collector.read(),
			};
			const failure: AttemptFailure = {kind: 'failed', reason: String(status)};
			settle(
				status >= MIN_SERVER_ERROR && target.kind === 'backend'
					? {kind: 'failure', failure, response: buffered}
					: buffered,
			);
		},
		() => {
			account.release();
			const reason = 'the answer broke off';
			settle({kind: 'failure', failure: {kind: 'lost', reason}});
		},
	);
}
