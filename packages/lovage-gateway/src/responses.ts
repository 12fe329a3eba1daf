import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {endWhenRead, type LogContext} from '@lovagevalve/runtime';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {ProblemResponse} from './problem-response.js';

/**
 * `Retry-After` while no backend server is available: a restart takes about a
 * second.
 */
export const RETRY_AFTER_MS = 700;

/**
 * Chooses `Retry-After` for a request that no backend server could take: the
 * pause that they asked for, if all of them did.
 */
export function chooseRetryAfterMs(
	ctx: GatewayContext,
	{service}: AcceptedRequest,
): number {
	return ctx.view.readPushbackMs(service.name) ?? RETRY_AFTER_MS;
}

/**
 * Sends a problem response unless a response has started or the connection is
 * closed.
 */
export function sendProblem(
	res: ServerResponse,
	{status, reason, retryAfterMs, headers = {}}: ProblemResponse,
): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const body = Buffer.from(JSON.stringify({title: reason, status}));
	res.writeHead(status, {
		...headers,
		'Content-Type': 'application/problem+json',
		'Content-Length': body.length,
		...(retryAfterMs === undefined
			? {}
			: {'Retry-After': (retryAfterMs / 1000).toFixed(2)}),
	});
	endWhenRead(res.req, res, body);
}

/**
 * Ends a response that can't be completed. Over HTTP/1.1 its length or missing
 * last chunk shows that; an HTTP/1.0 response ends with its connection, which is
 * reset for that reason.
 */
export function breakOff(res: ServerResponse): void {
	if (res.req.httpVersion === '1.0') {
		res.socket?.resetAndDestroy();
	} else {
		res.destroy();
	}
}

/** Logs the outcome of a request and updates the metrics. */
export function recordCompletion(
	ctx: GatewayContext,
	req: AcceptedRequest,
	outcome: Readonly<{
		status: number;
		reason: string;
		sent: number;
		backend?: string;
		/** Additional log context. */
		details?: LogContext;
	}>,
): void {
	const durationMs = Math.round(ctx.clock.now() - req.startedAt);
	const {status, reason, sent, backend, details = {}} = outcome;
	const labels = {kind: req.route.kind, status: String(status)};
	ctx.metrics.count('requests', labels);
	ctx.metrics.time('request', durationMs, {kind: req.route.kind});
	const context = {
		request: req.metadata.id,
		route: req.route.name,
		status,
		reason,
		sent,
		backend: backend ?? '',
		tookMs: durationMs,
		version: ctx.readRouteTable()?.configuration.version ?? 0,
		...details,
	};
	// A resumed stream is only the rest of one.
	if (status < 300 && req.origin === undefined) {
		ctx.answerTimes.record(req.route.name, durationMs);
	}

	if (status >= 400) {
		ctx.log.warn('Request failed.', context);
	} else {
		ctx.log.info('A request was answered.', context);
	}
}

/** Completes a request with a problem response. */
export function endWithProblem(
	ctx: GatewayContext,
	req: AcceptedRequest,
	problem: ProblemResponse,
	sent: number,
): void {
	recordCompletion(ctx, req, {
		status: problem.status,
		reason: problem.reason,
		sent,
		...(problem.cause === undefined ? {} : {details: {cause: problem.cause}}),
	});
	sendProblem(req.res, problem);
}
