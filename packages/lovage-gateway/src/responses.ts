import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {LogContext} from '@lovagevalve/runtime';
import type {AcceptedRequest, GatewayContext} from './context.js';

/** Answer of the entry's own, with the reason for the log. */
export type ProblemResponse = Readonly<{
	status: number;
	reason: string;
	/** When to come back, in milliseconds; only where the request hasn't run. */
	retryAfterMs?: number;
}>;

/** Time to come back when backend servers are missing: a restart takes about a second. */
export const RETRY_AFTER_MS = 700;

/** Sends an answer of the entry's own. */
export function sendProblem(
	res: ServerResponse,
	{status, reason, retryAfterMs}: ProblemResponse,
): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const body = JSON.stringify({title: reason, status});
	res.writeHead(status, {
		'Content-Type': 'application/problem+json',
		'Content-Length': Buffer.byteLength(body),
		...(retryAfterMs === undefined
			? {}
			: {'Retry-After': (retryAfterMs / 1000).toFixed(2)}),
	});
	res.end(body);
}

/** Logs how a request ended, and counts it. */
export function recordCompletion(
	ctx: GatewayContext,
	req: AcceptedRequest,
	outcome: Readonly<{
		status: number;
		reason: string;
		sent: number;
		backend?: string;
		/** Further facts for the log. */
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
	if (status >= 400) {
		ctx.log.warn('A request failed.', context);
	} else {
		ctx.log.info('A request was answered.', context);
	}
}

/** Ends a request with an answer of the entry's own. */
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
	});
	sendProblem(req.res, problem);
}
