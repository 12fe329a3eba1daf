import {Server as TcpServer} from 'node:net';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {
	type BodyRefusal,
	boundUnreadResponses,
	createChunkLease,
	discardRest,
	openExchangeAccount,
	readRequestBody,
} from '@lovagevalve/runtime';
import {acceptRequest, countHeaderBytes} from './accept-request.js';
import type {ProblemResponse} from './problem-response.js';
import {endWithProblem, RETRY_AFTER_MS, sendProblem} from './responses.js';
import {
	type AcceptedRequest,
	describeCaller,
	type GatewayContext,
} from './context.js';
import {describeQuarantine} from './crash-watch.js';
import {forwardUnary} from './unary-forwarder.js';
import {CUT_OFF_HEADER} from './peer-relay.js';
import {createOpenRequests, type OpenRequests} from './open-requests.js';
import type {RequestGuard} from './guard.js';
import {createRequestGuard} from './request-guard.js';
import {limitParsedHeads} from './parsed-heads.js';
import {isOriginsMessage, receiveOrigins} from './peer-origins.js';
import {isResumed, locateResumedStream} from './resume-location.js';
import {createStreamRelay, type StreamRelay} from './stream-forwarder.js';
import {toTimerMs} from './timer-range.js';

/** HTTP server that accepts and forwards callers' requests. */
export type Gateway = Readonly<{
	server: Server;
	/** Applies the server limits of the active configuration. */
	applyLimits: () => void;
	/** The connections of callers and the requests on them. */
	open: Pick<OpenRequests, 'disableKeepAlive' | 'list' | 'breakOffAll'>;
	/** Accepts no more connections; open ones stay. */
	stopListening: () => void;
	/** Resolves when nothing is open any more, or the time limit has passed. */
	awaitIdle: (limitMs: number) => Promise<void>;
	countRequests: () => number;
}>;

/** Limits that apply until a configuration is known. */
const DEFAULT_LIMITS = {
	maxHeaderBytes: 16_384,
	maxBodyBytes: 1_048_576,
	headerTimeoutMs: 5000,
	idleTimeoutMs: 15_000,
};
/** Longest time for the body of a request. */
const MAX_BODY_MS = 30_000;
const BODY_REFUSALS: Readonly<Record<BodyRefusal, ProblemResponse>> = {
	'too-large': {status: 413, reason: 'the body is too large'},
	'no-room': {
		status: 503,
		reason: 'too many bytes are buffered',
		retryAfterMs: RETRY_AFTER_MS,
	},
	late: {status: 408, reason: 'the body did not end in time'},
	fragmented: {
		status: 503,
		reason: 'too many small chunks are being read',
		retryAfterMs: RETRY_AFTER_MS,
	},
};
/** Concurrent requests held in memory; further ones are rejected. */
const MAX_REQUESTS = 2000;
/**
 * Interval of the check for silent streams: a fifth of the silence that
 * triggers a probe.
 */
const TICK_INTERVAL_MS = 50;
/** Tells the entry that sent the request on to try another one. */
const CUT_OFF: ProblemResponse = {
	status: 503,
	reason: 'this entry reaches no backend server of the service',
	retryAfterMs: RETRY_AFTER_MS,
	headers: {[CUT_OFF_HEADER]: '1'},
};
const CALLER_LEFT: ProblemResponse = {
	status: 499,
	reason: 'the caller left',
};
/** Creates the server for callers; the owner calls `listen`. */
export function createGateway(ctx: GatewayContext): Gateway {
	const relays = new Set<StreamRelay>();
	const open = createOpenRequests(
		ctx.clock,
		({headers}) => ctx.codec.readRequest(headers).id,
	);
	let activeRequests = 0;

	const reject = (
		req: IncomingMessage,
		res: ServerResponse,
		problem: ProblemResponse,
	): void => {
		const {id} = ctx.codec.readRequest(req.headers);
		ctx.metrics.count('refusals', {status: String(problem.status)});
		ctx.log.warn('Request rejected.', {
			request: id,
			status: problem.status,
			reason: problem.reason,
			version: ctx.readRouteTable()?.configuration.version ?? 0,
		});
		sendProblem(res, problem);
	};

	/** Forwards a stream that its caller resumes, or ends it if it can't go on. */
	const resume = async (accepted: AcceptedRequest): Promise<void> => {
		const located = await locateResumedStream(ctx, accepted);
		if ('status' in located) {
			endWithProblem(ctx, accepted, located, 0);
		} else if (accepted.res.destroyed) {
			endWithProblem(ctx, accepted, CALLER_LEFT, 0);
		} else {
			await forward(located);
		}
	};

	const forward = async (accepted: AcceptedRequest): Promise<void> => {
		if (accepted.isRelayed && ctx.reach.isCutOff(accepted.service.name)) {
			endWithProblem(ctx, accepted, CUT_OFF, 0);
			return;
		}

		// The entry that takes a request over counts it.
		const end = ctx.reach.isCutOff(accepted.service.name)
			? () => undefined
			: ctx.retryBudgets.countRequest(accepted.service.name);
		const endTime = ctx.answerTimes.begin(accepted.route.name);
		try {
			await (accepted.route.kind === 'stream'
				? forwardStream(accepted)
				: forwardUnary(ctx, accepted));
		} finally {
			end();
			endTime();
		}
	};

	const forwardStream = async (accepted: AcceptedRequest): Promise<void> => {
		await new Promise<void>((resolve) => {
			const relay = createStreamRelay(ctx, accepted, () => {
				relays.delete(relay);
				resolve();
			});
			relays.add(relay);
			relay.start();
		});
	};

	/** Reads the body of a request that is refused for its head. */
	const discardBody = (req: IncomingMessage, res: ServerResponse): void => {
		const holder = describeCaller(undefined);
		const {takeDiscardedChunks} = ctx.buffers.open(holder);
		discardRest(req, res, createChunkLease(takeDiscardedChunks));
	};

	const handle = async (
		req: IncomingMessage,
		res: ServerResponse,
		guard: RequestGuard,
	): Promise<void> => {
		const startedAt = ctx.clock.now();
		const routeTable = ctx.readRouteTable();
		if (routeTable === undefined) {
			const reason = 'no configuration is known yet';
			discardBody(req, res);
			reject(req, res, {status: 503, reason, retryAfterMs: RETRY_AFTER_MS});
			return;
		}

		const {maxHeaderBytes, maxBodyBytes} = routeTable.configuration.limits;
		if (countHeaderBytes(req) > maxHeaderBytes) {
			discardBody(req, res);
			reject(req, res, {status: 431, reason: 'the headers are too large'});
			return;
		}

		const {key = '', waitMs = MAX_BODY_MS} = ctx.codec.readRequest(req.headers);
		const holder = describeCaller(routeTable.findCustomer(key)?.name);
		const content = await readRequestBody(req, {
			res,
			account: openExchangeAccount(ctx.buffers, holder, res),
			maxBytes: maxBodyBytes,
			limitMs: toTimerMs(Math.min(waitMs, MAX_BODY_MS)),
		});
		if (content.kind === 'closed') {
			return;
		}

		if (content.kind === 'refused') {
			reject(req, res, BODY_REFUSALS[content.reason]);
			return;
		}

		if (activeRequests > MAX_REQUESTS) {
			const reason = 'too many requests are under way';
			reject(req, res, {status: 503, reason, retryAfterMs: RETRY_AFTER_MS});
			return;
		}

		// A configuration that arrived while the body was read applies already.
		const accepted = acceptRequest(ctx, req, {
			res,
			guard,
			routeTable: ctx.readRouteTable() ?? routeTable,
			body: content.body,
			startedAt,
		});
		if ('status' in accepted) {
			reject(req, res, accepted);
			return;
		}

		const drainProblem = ctx.drainGate.check(accepted);
		if (drainProblem !== undefined) {
			endWithProblem(ctx, accepted, drainProblem, 0);
			return;
		}

		const cause = ctx.crashes.findQuarantined(accepted);
		if (cause !== undefined) {
			const reason = describeQuarantine(cause);
			ctx.metrics.count('quarantine_refusals');
			endWithProblem(ctx, accepted, {status: 500, reason, cause}, 0);
			return;
		}

		await (accepted.route.kind === 'stream' && isResumed(accepted)
			? resume(accepted)
			: forward(accepted));
	};

	const serve = async (
		req: IncomingMessage,
		res: ServerResponse,
	): Promise<void> => {
		activeRequests += 1;
		const guard = createRequestGuard(ctx, res);
		await guard.settle(
			isOriginsMessage(req)
				? receiveOrigins(ctx, req, res)
				: handle(req, res, guard),
		);
		activeRequests -= 1;
	};

	const server = createServer((req, res) => {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		if (open.add(res)) {
			void serve(req, res);
		}
	});
	server.requestTimeout = 0;
	boundUnreadResponses(server);
	server.on('connection', open.addConnection);
	const timer = setInterval(() => {
		relays.forEach((relay) => {
			relay.tick();
		});
	}, TICK_INTERVAL_MS);

	const applyLimits = (): void => {
		const limits = ctx.readRouteTable()?.configuration.limits ?? DEFAULT_LIMITS;
		server.keepAliveTimeout = toTimerMs(limits.idleTimeoutMs);
		server.headersTimeout = toTimerMs(limits.headerTimeoutMs);
		limitParsedHeads(server, limits.maxHeaderBytes);
	};

	applyLimits();
	return {
		server,
		applyLimits,
		open,
		stopListening() {
			// The method of HTTP servers also destroys connections on which a slow
			// caller has not received all of its response.
			TcpServer.prototype.close.call(server);
		},
		countRequests: () => activeRequests,
		async awaitIdle(limitMs) {
			await open.awaitIdle(limitMs);
			clearInterval(timer);
		},
	};
}
