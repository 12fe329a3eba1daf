import type {IncomingMessage} from 'node:http';
import {createChunkCount} from '@lovagevalve/runtime';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {isWhole, watchResponseEnd} from './response-end.js';
import {removeHeaders} from './hop-by-hop-headers.js';
import {breakOff} from './responses.js';
import type {BufferedResponse, LargeResponse} from './collected-response.js';

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

/** Says why a large response is none that ends; undefined if it may be one. */
function createFloodWatch(
	response: IncomingMessage,
): (chunk: Uint8Array) => string | undefined {
	const isOpenEnded = response.headers['content-length'] === undefined;
	const findFragmentation = createChunkCount();
	let bytes = 0;
	return (chunk) => {
		bytes += chunk.length;
		const reason =
			isOpenEnded && bytes > MAX_OPEN_ENDED_BYTES
				? `${bytes} bytes without an end`
				: findFragmentation(chunk);
		return reason === undefined ? undefined : `flood: ${reason}`;
	};
}

/** Sends the buffered head of a large response and pipes the rest. */
export function pipeLargeResponse(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{response, head, backend}: LargeResponse,
): void {
	const {res} = req;
	const leave = (reason: string, outcome?: 'failed' | 'flooded'): void => {
		ctx.log.warn('A large response was left.', {
			request: req.metadata.id,
			backend: backend?.id ?? '',
			reason,
		});
		if (backend !== undefined && outcome !== undefined) {
			ctx.view.reportHealth(backend, outcome);
		}

		response.destroy();
		breakOff(res);
	};

	const timer = setTimeout(
		req.guard.wrap(() => {
			// The time was the caller's if it reads slowly.
			const outcome = res.writableNeedDrain ? undefined : 'failed';
			leave('it did not end in time', outcome);
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
	const findFlood = createFloodWatch(response);
	response.on('data', (chunk: Uint8Array) => {
		const reason = findFlood(chunk);
		if (reason !== undefined && !response.destroyed) {
			leave(reason, 'flooded');
		}
	});
	response.pipe(res, {end: false});
}
