import {
	type AttemptFailure,
	type BackendRecord,
	isRepeatable,
} from '@lovagevalve/dispatch';
import {endWithOwnAnswer, recordEnd, RETRY_AFTER_MS} from './answers.js';
import {probeAddress} from './backend-exchange.js';
import {
	type AcceptedRequest,
	describeWork,
	type GatewayContext,
	readRemaining,
} from './context.js';
import {pipeLarge, sendBuffered} from './plain-answer.js';
import {decideWithinBudget} from './retry-budgets.js';
import {
	planTry,
	runTry,
	type BufferedAnswer,
	type Outcome,
} from './plain-try.js';

/** Notes what a failed try says of the backend server, and whether it died. */
async function examineFailure(
	ctx: GatewayContext,
	req: AcceptedRequest,
	backend: BackendRecord,
	failure: AttemptFailure,
): Promise<boolean> {
	switch (failure.kind) {
		case 'not-sent': {
			ctx.view.signal(backend, 'unreachable');
			return false;
		}

		case 'rejected': {
			return false;
		}

		case 'failed': {
			ctx.view.signal(backend, 'failed');
			return false;
		}

		case 'lost': {
			const isAlive = await probeAddress(backend.address);
			ctx.view.signal(backend, isAlive ? 'failed' : 'unreachable');
			if (!isAlive) {
				ctx.reportCrash(req.digest, backend);
			}

			return !isAlive;
		}
	}
}

/** What has happened to a request so far. */
type Progress = Readonly<{
	excluded: readonly string[];
	/** Backend servers that were sent the request. */
	sent: number;
	tries: number;
	/** Backend servers that died while they held it. */
	deaths: number;
	hasRun: boolean;
}>;

const NO_PROGRESS: Progress = {
	excluded: [],
	sent: 0,
	tries: 0,
	deaths: 0,
	hasRun: false,
};

function endWithAnswer(
	ctx: GatewayContext,
	req: AcceptedRequest,
	answer: BufferedAnswer,
	{backend, sent}: Readonly<{backend: string; sent: number}>,
): void {
	const {status} = answer;
	recordEnd(ctx, req, {status, reason: 'backend server', sent, backend});
	sendBuffered(req, answer);
}

function endWithoutBackend(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{hasRun, sent}: Progress,
): void {
	const reason = 'no backend server is left';
	endWithOwnAnswer(
		ctx,
		req,
		hasRun
			? {status: 502, reason}
			: {status: 503, reason, retryAfterMs: RETRY_AFTER_MS},
		sent,
	);
}

type FailedTry = Extract<Outcome, {kind: 'failure'}> &
	Readonly<{backend: BackendRecord}>;

/** Decides on a failed try: returns the progress to go on with, or ends the request. */
async function settleFailure(
	ctx: GatewayContext,
	req: AcceptedRequest,
	progress: Progress,
	{backend, failure, answer}: FailedTry,
): Promise<Progress | undefined> {
	const {route, service, res} = req;
	const hasDied = await examineFailure(ctx, req, backend, failure);
	const isNotSent = failure.kind === 'not-sent';
	const next: Progress = {
		excluded: [...progress.excluded, backend.id],
		sent: progress.sent + (isNotSent ? 0 : 1),
		tries: progress.tries + 1,
		deaths: progress.deaths + (hasDied ? 1 : 0),
		hasRun:
			progress.hasRun || failure.kind === 'lost' || failure.kind === 'failed',
	};
	const decision = decideWithinBudget(
		ctx.budgets,
		service.name,
		{
			...next,
			isRepeatable: isRepeatable(route.kind, route.isResumable),
			failure,
			maxAttempts: route.maxAttempts,
			remainingMs: readRemaining(ctx, req),
		},
		progress.hasRun,
	);
	ctx.log.warn('A try failed.', {
		request: req.facts.id,
		backend: backend.id,
		failure: failure.kind,
		reason: failure.reason,
		sent: next.sent,
		decision: decision.kind,
	});
	if (res.destroyed || decision.kind === 'retry') {
		return res.destroyed ? undefined : next;
	}

	if (answer === undefined) {
		const {reason} = failure;
		endWithOwnAnswer(
			ctx,
			req,
			decision.kind === 'refuse'
				? {status: 503, reason, retryAfterMs: RETRY_AFTER_MS}
				: {status: 502, reason},
			next.sent,
		);
	} else {
		endWithAnswer(ctx, req, answer, {backend: backend.id, sent: next.sent});
	}

	return undefined;
}

/** Sends a request to one backend server; returns the progress if it goes on elsewhere. */
async function tryOnce(
	ctx: GatewayContext,
	req: AcceptedRequest,
	progress: Progress,
): Promise<Progress | undefined> {
	const work = describeWork(ctx, req, progress.excluded, []);
	const backend = ctx.view.choose(req.service.name, work, ctx.draw());
	if (backend === undefined) {
		endWithoutBackend(ctx, req, progress);
		return undefined;
	}

	const placement = ctx.view.place(backend, work);
	const sent = progress.sent + 1;
	const plan = planTry(ctx, req, backend, progress.sent);
	const outcome = await runTry(ctx, req, plan);
	placement.release();
	switch (outcome.kind) {
		case 'answer': {
			ctx.view.signal(backend, 'answered');
			endWithAnswer(ctx, req, outcome, {backend: backend.id, sent});
			return undefined;
		}

		case 'large': {
			ctx.view.signal(backend, 'answered');
			pipeLarge(req, outcome);
			return undefined;
		}

		case 'ended': {
			const {reason} = outcome;
			if (reason === 'timeout') {
				ctx.view.signal(backend, 'failed');
			}

			endWithOwnAnswer(ctx, req, {status: 504, reason}, sent);
			return undefined;
		}

		case 'failure': {
			return settleFailure(ctx, req, progress, {...outcome, backend});
		}
	}
}

/** Forwards a request that gets one answer. */
export async function forwardPlain(
	ctx: GatewayContext,
	req: AcceptedRequest,
): Promise<void> {
	let progress: Progress | undefined = NO_PROGRESS;
	while (progress !== undefined) {
		// eslint-disable-next-line no-await-in-loop -- one try after the other
		progress = await tryOnce(ctx, req, progress);
	}
}
