import {createChunkCount} from '@lovagevalve/runtime';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {isWhole, watchResponseEnd} from './backend-exchange.js';
import {removeHeaders} from './hop-by-hop-headers.js';
import {breakOff} from './responses.js';
import type {BufferedResponse, LargeResponse} from './unary-attempt.js';

const BODY_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/**
 * Sends a buffered response, without a body for `HEAD` and the statuses 204 and
 * 304.
 */
export function sendBufferedResponse(
	req: AcceptedRequest,
	response: BufferedResponse,
): void {
	const {status, body, rawHeaders} = response;
	const headers = removeHeaders(rawHeaders, BODY_HEADERS);
	const hasNoBody = req.method === 'HEAD' || status === 204 || status === 304;
	req.res.writeHead(
		status,
		hasNoBody ? headers : [...headers, 'Content-Length', String(body.length)],
	);
	req.res.end(hasNoBody ? undefined : body);
}

/** Bytes from which on a response that does not end is taken for a flood. */
const MIN_FLOOD_BYTES = 4_194_304;

/**
 * Sends the buffered head of a large response and pipes the rest; `onFlood` is called if
 * it is left for what it consists of.
 */
export function pipeLargeResponse(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{response, head}: LargeResponse,
	onFlood: () => void = () => undefined,
): void {
	const {res} = req;
	let bytes = head.reduce((sum, {length}) => sum + length, 0);
	const leave = (reason: string): void => {
		ctx.log.warn('A large response was left.', {
			request: req.metadata.id,
			reason,
			bytes,
		});
		response.destroy();
		breakOff(res);
	};

	// A backend server may send bytes without end.
	const timer = setTimeout(
		req.guard.wrap(() => {
			// The time was the caller's if it reads slowly.
			if (bytes > MIN_FLOOD_BYTES && !res.writableNeedDrain) {
				onFlood();
			}

			leave('it did not end in time');
		}),
		Math.max(1, readRemainingMs(ctx, req)),
	);
	const complete = (): void => {
		const tookMs = ctx.clock.now() - req.startedAt;
		ctx.answerTimes.record(req.route.name, tookMs);
		res.end();
	};

	res.writeHead(
		response.statusCode ?? 0,
		removeHeaders(response.rawHeaders, new Set()),
	);
	head.forEach((chunk) => res.write(chunk));
	if (response.destroyed || response.readableEnded) {
		// It ended before anyone listened.
		clearTimeout(timer);
		setImmediate(
			req.guard.wrap(() => {
				if (isWhole(response)) {
					complete();
				} else {
					breakOff(res);
				}
			}),
		);
		return;
	}

	res.once('close', () => {
		clearTimeout(timer);
		response.destroy();
	});
	watchResponseEnd(response, complete, () => {
		// The caller must not take a truncated response for a complete one.
		breakOff(res);
	});
	const findFragmentation = createChunkCount();
	response.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		const reason = findFragmentation(chunk);
		if (reason !== undefined) {
			onFlood();
			leave(reason);
		}
	});
	response.pipe(res, {end: false});
}
