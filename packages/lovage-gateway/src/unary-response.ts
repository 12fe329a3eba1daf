import type {IncomingMessage} from 'node:http';
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

/** Longest response whose end nothing announces. */
const MAX_OPEN_ENDED_BYTES = 16_777_216;

/** Why a large response is none that ends; undefined if it may be one. */
function createFloodWatch(
	response: IncomingMessage,
): (chunk: Uint8Array) => string | undefined {
	const isOpenEnded = response.headers['content-length'] === undefined;
	const isFragmentedBy = createChunkCount();
	let bytes = 0;
	return (chunk) => {
		bytes += chunk.length;
		if (isFragmentedBy(chunk)) {
			return `flood: ${bytes} bytes in too many small chunks`;
		}

		return isOpenEnded && bytes > MAX_OPEN_ENDED_BYTES
			? `flood: ${bytes} bytes without an end`
			: undefined;
	};
}

/** Sends the buffered head of a large response and pipes the rest. */
export function pipeLargeResponse(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{response, head, backend}: LargeResponse,
): void {
	const {res} = req;
	const leave = (reason: string, outcome: 'failed' | 'flooded'): void => {
		ctx.log.warn('A large response was left.', {
			request: req.metadata.id,
			backend: backend?.id ?? '',
			reason,
		});
		if (backend !== undefined) {
			ctx.view.reportHealth(backend, outcome);
		}

		response.destroy();
		breakOff(res);
	};

	const timer = setTimeout(
		req.guard.wrap(() => {
			leave('it did not end in time', 'failed');
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
	const findFlood = createFloodWatch(response);
	response.on('data', (chunk: Uint8Array) => {
		const reason = findFlood(chunk);
		if (reason !== undefined && !response.destroyed) {
			leave(reason, 'flooded');
		}
	});
	response.pipe(res, {end: false});
}
