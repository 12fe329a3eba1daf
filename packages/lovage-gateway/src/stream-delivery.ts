import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {openExchangeAccount} from '@lovagevalve/runtime';
import {
	type AcceptedRequest,
	describeCaller,
	type GatewayContext,
} from './context.js';
import {breakOff} from './responses.js';
import type {StreamEvent} from './event-splitter.js';
import {removeHeaders} from './hop-by-hop-headers.js';

/** Delivery of an event stream to its caller. */
export type StreamDelivery = Readonly<{
	/**
	 * Writes an event that the caller does not have, or a comment. A slow caller then
	 * pauses the delivery; `onDrained` is called when it can receive more.
	 */
	deliver: (
		response: IncomingMessage,
		event: StreamEvent,
		onDrained: () => void,
	) => void;
	/** Ends the stream properly. */
	complete: (response: IncomingMessage) => void;
	/** Forwards an error response of the backend server. */
	forwardError: (response: IncomingMessage, body: Uint8Array) => void;
	/**
	 * Resets the connection, so that the caller does not take the stream for
	 * complete.
	 */
	abort: () => void;
	readLastEventId: () => string | undefined;
	/** Time from the first event to the last one so far, in milliseconds. */
	readDeliveringMs: () => number;
	/** The response head was sent. */
	hasBegun: () => boolean;
	/** Delivery is paused by backpressure from the caller. */
	isPaused: () => boolean;
	/** Whether the caller has waited for the next event for too long. */
	isLate: () => boolean;
	/**
	 * Latency of the first event and longest gap between events, in whole
	 * milliseconds.
	 */
	readTimings: () => Readonly<{firstEventMs: number; longestPauseMs: number}>;
}>;

const HTTP_OK = 200;
const BODY_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/**
 * Creates the delivery of one stream. The caller receives the response head of
 * the first run.
 */
export function createStreamDelivery(
	ctx: GatewayContext,
	{res, metadata, route, customer, startedAt}: AcceptedRequest,
): StreamDelivery {
	const holder = describeCaller(customer);
	const backlog = openExchangeAccount(ctx.buffers, holder, res);
	let {lastEventId} = metadata;
	let hasBegun = false;
	let isPaused = false;
	let firstEventMs = 0;
	let longestPauseMs = 0;
	let deliveredAt = 0;

	const sendHead = (response: IncomingMessage): void => {
		if (!hasBegun) {
			hasBegun = true;
			res.writeHead(
				response.statusCode ?? HTTP_OK,
				removeHeaders(response.rawHeaders, BODY_HEADERS),
			);
		}
	};

	const recordTimings = (): void => {
		const now = ctx.clock.now();
		if (deliveredAt === 0) {
			firstEventMs = now - startedAt;
			ctx.metrics.time('first_event', firstEventMs);
		} else {
			longestPauseMs = Math.max(longestPauseMs, now - deliveredAt);
		}

		deliveredAt = now;
	};

	return {
		deliver(response, {id, bytes}, onDrained) {
			recordTimings();
			sendHead(response);
			lastEventId = id ?? lastEventId;
			if (res.write(bytes) || isPaused) {
				return;
			}

			isPaused = true;
			if (!backlog.resize(res.writableLength)) {
				breakOff(res);
				return;
			}

			res.once('drain', () => {
				isPaused = false;
				backlog.release();
				onDrained();
			});
		},
		complete(response) {
			sendHead(response);
			res.end();
		},
		forwardError(response, body) {
			res.writeHead(response.statusCode ?? 0, [
				...removeHeaders(response.rawHeaders, BODY_HEADERS),
				'Content-Length',
				String(Buffer.byteLength(body)),
			]);
			res.end(body);
		},
		abort() {
			breakOff(res);
		},
		readLastEventId: () => lastEventId,
		hasBegun: () => hasBegun,
		isPaused: () => isPaused,
		isLate() {
			const now = ctx.clock.now();
			return deliveredAt === 0
				? now - startedAt > route.latencyTargetMs
				: now - deliveredAt > route.gapTargetMs;
		},
		readDeliveringMs: () =>
			deliveredAt === 0 ? 0 : deliveredAt - startedAt - firstEventMs,
		readTimings: () => ({
			firstEventMs: Math.round(firstEventMs),
			longestPauseMs: Math.round(longestPauseMs),
		}),
	};
}
