import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {StreamEvent} from './event-splitter.js';
import {dropHeaders} from './hop-headers.js';

/** What a caller has got of a stream. */
export type StreamDelivery = Readonly<{
	/** Passes an event on unless the caller has it; `onDrained` is called when a slow caller takes more. */
	deliver: (
		answer: IncomingMessage,
		event: StreamEvent,
		onDrained: () => void,
	) => void;
	/** Ends the stream as whole. */
	complete: (answer: IncomingMessage) => void;
	/** Passes a failure of the backend server's own on. */
	passOn: (answer: IncomingMessage, body: Uint8Array) => void;
	/** Ends the stream so that it doesn't look whole. */
	breakOff: () => void;
	readLastEventId: () => string | undefined;
	/** The head of the answer was sent. */
	hasBegun: () => boolean;
	/** The caller is slower than the stream. */
	isPaused: () => boolean;
	/** Times of the delivery, in whole milliseconds. */
	readTimes: () => Readonly<{firstEventMs: number; longestPauseMs: number}>;
}>;

const SUCCESS = 200;
const BODY_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/** Creates the delivery of one stream; the first run's head is the caller's. */
export function createStreamDelivery(
	ctx: GatewayContext,
	{res, facts, startedAt}: AcceptedRequest,
): StreamDelivery {
	let {lastEventId} = facts;
	let hasBegun = false;
	let isPaused = false;
	let firstEventMs = 0;
	let longestPauseMs = 0;
	let deliveredAt = 0;

	const begin = (answer: IncomingMessage): void => {
		if (!hasBegun) {
			hasBegun = true;
			res.writeHead(
				answer.statusCode ?? SUCCESS,
				dropHeaders(answer.rawHeaders, BODY_HEADERS),
			);
		}
	};

	const noteTimes = (): void => {
		const now = ctx.clock.now();
		if (deliveredAt === 0) {
			firstEventMs = now - startedAt;
			ctx.metrics.time('first_event', firstEventMs);
		} else {
			longestPauseMs = Math.max(longestPauseMs, now - deliveredAt);
		}

		deliveredAt = now;
	};

	const isKnown = (id: string | undefined): boolean =>
		id !== undefined &&
		lastEventId !== undefined &&
		Number(id) <= Number(lastEventId);

	return {
		deliver(answer, {id, bytes}, onDrained) {
			if (isKnown(id)) {
				return;
			}

			noteTimes();
			begin(answer);
			lastEventId = id ?? lastEventId;
			if (!res.write(bytes)) {
				isPaused = true;
				answer.pause();
				res.once('drain', () => {
					isPaused = false;
					onDrained();
					answer.resume();
				});
			}
		},
		complete(answer) {
			begin(answer);
			res.end();
		},
		passOn(answer, body) {
			res.writeHead(answer.statusCode ?? 0, [
				...dropHeaders(answer.rawHeaders, BODY_HEADERS),
				'Content-Length',
				String(Buffer.byteLength(body)),
			]);
			res.end(body);
		},
		breakOff() {
			res.destroy();
		},
		readLastEventId: () => lastEventId,
		hasBegun: () => hasBegun,
		isPaused: () => isPaused,
		readTimes: () => ({
			firstEventMs: Math.round(firstEventMs),
			longestPauseMs: Math.round(longestPauseMs),
		}),
	};
}
