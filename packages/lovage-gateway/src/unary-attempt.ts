import type {IncomingMessage} from 'node:http';
import {
	type AttemptFailure,
	type BackendRecord,
	isRepeatable,
} from '@lovagevalve/dispatch';
import {
	type BufferHolder,
	createByteCollector,
	createChunkCount,
	openExchangeAccount,
	startDeadline,
} from '@lovagevalve/runtime';
import {
	describeAsked,
	describeAskedPeer,
	findAnswerFailure,
} from './answer-reader.js';
import {openExchange, type ExchangeRequest} from './backend-exchange.js';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {createRelayHeaders} from './peer-relay.js';
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
/** Result of one attempt at a backend server. */
export type AttemptOutcome =
	| BufferedResponse
	| LargeResponse
	| Readonly<{
			kind: 'failure';
			failure: AttemptFailure;
			response?: BufferedResponse;
	  }>
	| Readonly<{kind: 'ended'; reason: 'left' | 'timeout'}>;

/**
 * Responses up to this size can be retried elsewhere when they are truncated.
 */
const MAX_BUFFERED_BYTES = 262_144;
/**
 * A repeatable request is retried elsewhere after this multiple of its latency
 * target.
 */
const SLOW_ATTEMPT_FACTOR = 1.4;
const MIN_SERVER_ERROR = 500;

/** Where an attempt is sent. */
export type AttemptTarget =
	| Readonly<{kind: 'backend'; backend: BackendRecord}>
	/** Another entry, which reaches the backend servers. */
	| Readonly<{kind: 'peer'; address: string}>;

/** Target and timeout of one attempt. */
export type AttemptPlan = Readonly<{
	target: AttemptTarget;
	/** The attempt is cancelled if it is not settled by then. */
	timeoutMs: number;
	/** Outcome of the attempt when the timeout expires. */
	timeoutOutcome: AttemptOutcome;
}>;

/** A response whose headers have arrived. */
type ReceivedHead = Readonly<{
	target: AttemptTarget;
	/** Time of sending the request, in monotonic milliseconds. */
	sentAt: number;
	response: IncomingMessage;
}>;

/** Who holds what is buffered of an answer. */
function describeHolder(target: AttemptTarget): BufferHolder {
	switch (target.kind) {
		case 'backend': {
			return {source: 'backends', name: target.backend.id};
		}

		case 'peer': {
			return {source: 'instances', name: target.address};
		}
	}
}

/** Finds out from its head that a response is none for the caller. */
function findHeadFailure(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{target, sentAt, response}: ReceivedHead,
): AttemptFailure | undefined {
	switch (target.kind) {
		case 'backend': {
			const asked = describeAsked(req, target.backend, sentAt);
			return findAnswerFailure(ctx, asked, response);
		}

		case 'peer': {
			const asked = describeAskedPeer(req, target.address);
			return findAnswerFailure(ctx, asked, response);
		}
	}
}

/**
 * Buffers a response; `settle` may be called more than once, and only the first
 * call counts.
 */
function collectResponse(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{target, sentAt, response}: ReceivedHead,
	settle: (outcome: AttemptOutcome) => void,
): void {
	const status = response.statusCode ?? 0;
	const failure = findHeadFailure(ctx, req, {target, sentAt, response});
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

/** Address and headers of an attempt. */
function describeTarget(
	ctx: GatewayContext,
	req: AcceptedRequest,
	target: AttemptTarget,
): Readonly<{address: string; headers: string[]}> {
	const {lastEventId} = req.metadata;
	switch (target.kind) {
		case 'backend': {
			const {backend} = target;
			return {
				address: ctx.resolveAddress(backend),
				headers: ctx.codec.createBackendHeaders(req.rawHeaders, {
					backend: backend.id,
					customer: req.customer,
					remainingMs: readRemainingMs(ctx, req),
					lastEventId,
					bodyLength: req.body?.length,
				}),
			};
		}

		case 'peer': {
			return {
				address: target.address,
				headers: createRelayHeaders(ctx, req, {
					lastEventId,
					resumeId: lastEventId,
				}),
			};
		}
	}
}

/** Sends a request without retries. */
export async function runAttempt(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{target, timeoutMs, timeoutOutcome}: AttemptPlan,
): Promise<AttemptOutcome> {
	const sentAt = ctx.clock.now();
	const {guard} = req;
	if (req.res.destroyed) {
		return {kind: 'ended', reason: 'left'};
	}

	const request: ExchangeRequest = {
		...describeTarget(ctx, req, target),
		method: req.method,
		path: req.path,
		body: req.body,
	};
	return new Promise((resolve) => {
		let isSettled = false;
		const settle = (outcome: AttemptOutcome): void => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			cancelDeadline();
			req.res.off('close', onCallerClosed);
			resolve(outcome);
		};

		const onCallerClosed = (): void => {
			settle({kind: 'ended', reason: 'left'});
			exchange.cancel();
		};

		const cancelDeadline = startDeadline(
			timeoutMs,
			guard.wrap(() => {
				settle(timeoutOutcome);
				exchange.cancel();
			}),
		);
		guard.addCleanup(onCallerClosed);
		req.res.once('close', onCallerClosed);
		const exchange = openExchange(request, {
			onResponse: guard.wrap((response) => {
				guard.watch(response);
				collectResponse(ctx, req, {target, sentAt, response}, settle);
			}),
			onFailure: guard.wrap((failure) => {
				settle({kind: 'failure', failure});
			}),
		});
	});
}

/**
 * Plans an attempt; one that may be retried times out before the request's
 * deadline.
 */
export function planAttempt(
	ctx: GatewayContext,
	req: AcceptedRequest,
	target: AttemptTarget,
	sent: number,
): AttemptPlan {
	const {route} = req;
	const timeoutMs = Math.max(1, readRemainingMs(ctx, req));
	const slowTimeoutMs = route.latencyTargetMs * SLOW_ATTEMPT_FACTOR;
	const canRetryWhenSlow =
		target.kind === 'backend' &&
		isRepeatable(route.kind, route.isResumable) &&
		sent + 1 < route.maxAttempts &&
		slowTimeoutMs < timeoutMs / 2;
	const failure: AttemptFailure = {kind: 'failed', reason: 'too slow'};
	return canRetryWhenSlow
		? {
				target,
				timeoutMs: slowTimeoutMs,
				timeoutOutcome: {kind: 'failure', failure},
			}
		: {
				target,
				timeoutMs,
				timeoutOutcome: {kind: 'ended', reason: 'timeout'},
			};
}
