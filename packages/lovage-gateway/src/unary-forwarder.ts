import {setTimeout as sleep} from 'node:timers/promises';
import {
	type AttemptFailure,
	type BackendRecord,
	isRepeatable,
} from '@lovagevalve/dispatch';
import {
	chooseRetryAfterMs,
	endWithProblem,
	recordCompletion,
} from './responses.js';
import {reportConfirmedCrash} from './crash-confirmation.js';
import type {BufferedResponse} from './collected-response.js';
import {
	type AcceptedRequest,
	createPlacementRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {canRelayAgain, chooseRelayPeer} from './peer-relay.js';
import {pipeLargeResponse, sendBufferedResponse} from './unary-response.js';
import {recordAttempt} from './rollout-outcomes.js';
import {decideWithinBudget} from './retry-budgets.js';
import {planAttempt, runAttempt, type AttemptOutcome} from './unary-attempt.js';

/** Part of the latency target for which a request waits for room. */
const ROOM_WAIT_SHARE = 0.4;
const ROOM_POLL_MS = 15;
/** Errors take another time than answers, and don't measure the speed of a server. */
const ERROR_STATUS = 400;

/**
 * Updates the health of a backend server after a failed attempt; resolves with
 * whether it crashed.
 */
async function recordFailure(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{backend, failure, sentAt}: Omit<FailedAttempt, 'response'>,
): Promise<boolean> {
	const lostAt = ctx.clock.now();
	switch (failure.kind) {
		case 'not-sent': {
			if (failure.isBlameless !== true) {
				ctx.view.reportHealth(backend, 'unreachable');
			}

			return false;
		}

		case 'rejected': {
			ctx.view.recordRejection(backend);
			return false;
		}

		case 'failed': {
			ctx.view.reportHealth(backend, 'failed');
			return false;
		}

		case 'lost': {
			if (failure.isFlood === true) {
				ctx.view.reportHealth(backend, 'flooded');
				return false;
			}

			const isAlive = await ctx.probe(ctx.resolveAddress(backend));
			ctx.view.reportHealth(backend, isAlive ? 'failed' : 'unreachable');
			if (!isAlive) {
				// The retry doesn't wait for it.
				const times = {sentAt, lostAt};
				void req.guard.settle(reportConfirmedCrash(ctx, req, backend, times));
			}

			return !isAlive;
		}
	}
}

/** Progress of a request over its attempts. */
type Progress = Readonly<{
	excluded: readonly string[];
	/** Number of times the request was sent to a backend server. */
	sent: number;
	attempts: number;
	/** Backend servers that crashed while processing it. */
	deaths: number;
	hasRun: boolean;
}>;

const INITIAL_PROGRESS: Progress = {
	excluded: [],
	sent: 0,
	attempts: 0,
	deaths: 0,
	hasRun: false,
};

function endWithResponse(
	ctx: GatewayContext,
	req: AcceptedRequest,
	response: BufferedResponse,
	{backend, sent}: Readonly<{backend: string; sent: number}>,
): void {
	const {status} = response;
	recordCompletion(ctx, req, {status, reason: 'backend server', sent, backend});
	sendBufferedResponse(req, response);
}

function endWithoutBackend(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{hasRun, sent}: Progress,
): void {
	const reason = 'no backend server is left';
	endWithProblem(
		ctx,
		req,
		hasRun
			? {status: 502, reason}
			: {status: 503, reason, retryAfterMs: chooseRetryAfterMs(ctx, req)},
		sent,
	);
}

type FailedAttempt = Extract<AttemptOutcome, {kind: 'failure'}> &
	Readonly<{backend: BackendRecord; sentAt: number}>;

/**
 * Handles a failed attempt: resolves with the progress for the next one, or
 * completes the request.
 */
async function handleFailure(
	ctx: GatewayContext,
	req: AcceptedRequest,
	progress: Progress,
	{backend, failure, response, sentAt}: FailedAttempt,
): Promise<Progress | undefined> {
	const {route, service, res} = req;
	const hasCrashed = await recordFailure(ctx, req, {
		kind: 'failure',
		backend,
		failure,
		sentAt,
	});
	const isNotSent = failure.kind === 'not-sent';
	const next: Progress = {
		excluded: [...progress.excluded, backend.id],
		sent: progress.sent + (isNotSent ? 0 : 1),
		attempts: progress.attempts + 1,
		deaths: progress.deaths + (hasCrashed ? 1 : 0),
		hasRun:
			progress.hasRun || failure.kind === 'lost' || failure.kind === 'failed',
	};
	const decision = decideWithinBudget(
		ctx.retryBudgets,
		service.name,
		{
			...next,
			isRepeatable: isRepeatable(route.kind, route.isResumable),
			failure,
			isQuarantined: ctx.crashes.findQuarantined(req) !== undefined,
			maxAttempts: route.maxAttempts,
			isLate: ctx.clock.now() - req.startedAt > route.latencyTargetMs,
			remainingMs: readRemainingMs(ctx, req),
		},
		progress.hasRun,
	);
	ctx.log.warn('Attempt failed.', {
		request: req.metadata.id,
		backend: backend.id,
		failure: failure.kind,
		reason: failure.reason,
		sent: next.sent,
		decision: decision.kind,
	});
	if (res.destroyed || decision.kind === 'retry') {
		return res.destroyed ? undefined : next;
	}

	const canRelay =
		decision.kind === 'refuse' &&
		isNotSent &&
		(await ctx.reach.confirm(service.name)) &&
		chooseRelayPeer(ctx, req, next.excluded) !== undefined;
	if (canRelay) {
		return next;
	}

	if (response === undefined) {
		const {reason} = failure;
		endWithProblem(
			ctx,
			req,
			decision.kind === 'refuse'
				? {status: 503, reason, retryAfterMs: chooseRetryAfterMs(ctx, req)}
				: {status: 502, reason},
			next.sent,
		);
	} else {
		endWithResponse(ctx, req, response, {backend: backend.id, sent: next.sent});
	}

	return undefined;
}

/**
 * Makes one attempt through another entry; resolves with the progress if another
 * one follows. The other entry retries, so only what it can't have run is repeated
 * here, and what may run more than once.
 */
async function relayOnce(
	ctx: GatewayContext,
	req: AcceptedRequest,
	progress: Progress,
	peer: string,
): Promise<Progress | undefined> {
	const sent = progress.sent + 1;
	const plan = planAttempt(ctx, req, {kind: 'peer', address: peer}, sent);
	const outcome = await runAttempt(ctx, req, plan);
	ctx.metrics.count('relayed_requests', {outcome: outcome.kind});
	switch (outcome.kind) {
		case 'answer': {
			endWithResponse(ctx, req, outcome, {backend: peer, sent});
			return undefined;
		}

		case 'large': {
			pipeLargeResponse(ctx, req, outcome);
			return undefined;
		}

		case 'ended': {
			endWithProblem(ctx, req, {status: 504, reason: outcome.reason}, sent);
			return undefined;
		}

		case 'failure': {
			const {kind, reason} = outcome.failure;
			const mayHaveRun = kind === 'lost' || kind === 'failed';
			ctx.log.warn('Another entry did not take a request over.', {
				request: req.metadata.id,
				peer,
				failure: kind,
				reason,
			});
			if (mayHaveRun && !canRelayAgain(req)) {
				endWithProblem(ctx, req, {status: 502, reason}, sent);
				return undefined;
			}

			return {
				...progress,
				excluded: [...progress.excluded, peer],
				sent: mayHaveRun ? sent : progress.sent,
				hasRun: progress.hasRun || mayHaveRun,
			};
		}
	}
}

/**
 * Whether a request may wait for room at a brittle backend server: only while its
 * answer can still be on time.
 */
function mayWaitForRoom(
	ctx: GatewayContext,
	{service, route, res, startedAt}: AcceptedRequest,
): boolean {
	const waitedMs = ctx.clock.now() - startedAt;
	return (
		!res.destroyed &&
		waitedMs < route.latencyTargetMs * ROOM_WAIT_SHARE &&
		ctx.view.hasBrittle(service.name)
	);
}

/** Makes one attempt; resolves with the progress if another one follows. */
async function attemptOnce(
	ctx: GatewayContext,
	req: AcceptedRequest,
	progress: Progress,
): Promise<Progress | undefined> {
	const peer = chooseRelayPeer(ctx, req, progress.excluded);
	if (peer !== undefined) {
		return relayOnce(ctx, req, progress, peer);
	}

	const placementRequest = createPlacementRequest(
		ctx,
		req,
		progress.excluded,
		[],
	);
	const backend = ctx.view.choose(
		req.service.name,
		placementRequest,
		ctx.random(),
	);
	if (backend === undefined) {
		if (mayWaitForRoom(ctx, req)) {
			await sleep(ROOM_POLL_MS);
			return progress;
		}

		const isCutOff = await ctx.reach.confirm(req.service.name);
		if (isCutOff && chooseRelayPeer(ctx, req, progress.excluded)) {
			return progress;
		}

		endWithoutBackend(ctx, req, progress);
		return undefined;
	}

	const reservation = ctx.view.reserve(backend, placementRequest);
	req.guard.addCleanup(reservation.release);
	const sent = progress.sent + 1;
	const plan = planAttempt(ctx, req, {kind: 'backend', backend}, progress.sent);
	const sentAt = ctx.clock.now();
	const outcome = await runAttempt(ctx, req, plan);
	reservation.release();
	recordAttempt(ctx, req, {backend, sentAt, outcome});
	switch (outcome.kind) {
		case 'answer': {
			ctx.view.reportHealth(backend, 'answered');
			if (outcome.status < ERROR_STATUS) {
				ctx.view.speeds.recordAnswer(reservation);
			}

			ctx.crashes.recordSound(req);
			endWithResponse(ctx, req, outcome, {backend: backend.id, sent});
			return undefined;
		}

		case 'large': {
			ctx.view.reportHealth(backend, 'answered');
			pipeLargeResponse(ctx, req, outcome);
			return undefined;
		}

		case 'ended': {
			const {reason} = outcome;
			if (reason === 'timeout') {
				ctx.view.reportHealth(backend, 'failed');
			}

			endWithProblem(ctx, req, {status: 504, reason}, sent);
			return undefined;
		}

		case 'failure': {
			return handleFailure(ctx, req, progress, {...outcome, backend, sentAt});
		}
	}
}

/** Forwards a request with a single response. */
export async function forwardUnary(
	ctx: GatewayContext,
	req: AcceptedRequest,
): Promise<void> {
	let progress: Progress | undefined = INITIAL_PROGRESS;
	while (progress !== undefined) {
		// eslint-disable-next-line no-await-in-loop -- attempts are sequential
		progress = await attemptOnce(ctx, req, progress);
	}
}
