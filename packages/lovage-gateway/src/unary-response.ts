import {createChunkCount} from '@lovagevalve/runtime';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {watchResponseEnd} from './backend-exchange.js';
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

/** Sends the buffered head of a large response and pipes the rest. */
export function pipeLargeResponse(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{response, head}: LargeResponse,
): void {
	const {res} = req;
	// A backend server may send bytes without end.
	const timer = setTimeout(
		req.guard.wrap(() => {
			ctx.log.warn('A large response did not end in time.', {
				request: req.metadata.id,
			});
			response.destroy();
			breakOff(res);
		}),
		Math.max(1, readRemainingMs(ctx, req)),
	);
	res.writeHead(
		response.statusCode ?? 0,
		removeHeaders(response.rawHeaders, new Set()),
	);
	head.forEach((chunk) => res.write(chunk));
	if (response.destroyed) {
		// It failed before anyone listened.
		clearTimeout(timer);
		breakOff(res);
		return;
	}

	res.once('close', () => {
		clearTimeout(timer);
		response.destroy();
	});
	watchResponseEnd(
		response,
		() => {
			const tookMs = ctx.clock.now() - req.startedAt;
			ctx.answerTimes.record(req.route.name, tookMs);
			res.end();
		},
		() => {
			// The caller must not take a truncated response for a complete one.
			breakOff(res);
		},
	);
	const findFragmentation = createChunkCount();
	response.on('data', (chunk: Uint8Array) => {
		const reason = findFragmentation(chunk);
		if (reason !== undefined) {
			ctx.log.warn('A large response comes in too many small chunks.', {
				request: req.metadata.id,
				reason,
			});
			response.destroy();
			breakOff(res);
		}
	});
	response.pipe(res, {end: false});
}
