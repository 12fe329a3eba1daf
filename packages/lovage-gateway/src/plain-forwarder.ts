import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	type AttemptFailure,
	type BackendRecord,
	decideRetry,
	isRepeatable,
} from '@lovagevalve/dispatch';
import {endWithOwnAnswer, recordEnd, RETRY_AFTER_MS} from './answers.js';
import {
	awaitEnd,
	openExchange,
	probeAddress,
	type Exchange,
} from './backend-exchange.js';
import {
	type AcceptedRequest,
	describeWork,
	type GatewayContext,
	readRemaining,
} from './context.js';
import {dropHeaders} from './hop-headers.js';

/** An answer that is buffered as a whole before the caller gets any of it. */
type BufferedAnswer = Readonly<{
	kind: 'answer';
	status: number;
	rawHeaders: readonly string[];
	body: Uint8Array;
}>;
/** An answer too large to be buffered; the rest is piped. */
type LargeAnswer = Readonly<{
	kind: 'large';
	answer: IncomingMessage;
	head: readonly Uint8Array[];
}>;
type Outcome =
	| BufferedAnswer
	| LargeAnswer
	| Readonly<{
			kind: 'failure';
			failure: AttemptFailure;
			answer?: BufferedAnswer;
	  }>
	| Readonly<{kind: 'ended'; reason: 'left' | 'timeout'}>;

/** Answers up to this size can be repeated elsewhere when they break off. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** A repeatable request is tried elsewhere after this multiple of its latency target. */
const SLOW_TRY_SHARE = 1.4;
const SERVER_ERROR = 500;
const BODY_HEADERS: ReadonlySet<string> = new Set(['content-length']);

type Try = Readonly<{
	backend: BackendRecord;
	/** Ends the try when nothing has come by then. */
	limitMs: number;
	/** What the end of the limit means. */
	onLimit: Outcome;
}>;

/** Collects an answer; `settle` is called once. */
function collect(
	ctx: GatewayContext,
	req: AcceptedRequest,
	answer: IncomingMessage,
	settle: (outcome: Outcome) => void,
): void {
	const status = answer.statusCode ?? 0;
	const facts = ctx.codec.readAnswer(status, answer.headers);
	if (facts.isNotRun) {
		const reason = `not run: ${status}`;
		settle({kind: 'failure', failure: {kind: 'rejected', reason}});
		answer.destroy();
		return;
	}

	if (facts.requestId !== req.facts.id) {
		const reason = 'the answer belongs to another request';
		settle({kind: 'failure', failure: {kind: 'lost', reason}});
		answer.destroy();
		return;
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	const onData = (chunk: Uint8Array): void => {
		chunks.push(chunk);
		size += chunk.length;
		if (size > MAX_BUFFERED_BYTES) {
			answer.off('data', onData);
			answer.pause();
			settle({kind: 'large', answer, head: chunks});
		}
	};

	answer.on('data', onData);
	awaitEnd(
		answer,
		() => {
			const buffered: BufferedAnswer = {
				kind: 'answer',
				status,
				rawHeaders: answer.rawHeaders,
				body: Buffer.concat(chunks),
			};
			const failure: AttemptFailure = {kind: 'failed', reason: String(status)};
			settle(
				status >= SERVER_ERROR
					? {kind: 'failure', failure, answer: buffered}
					: buffered,
			);
		},
		() => {
			const reason = 'the answer broke off';
			settle({kind: 'failure', failure: {kind: 'lost', reason}});
		},
	);
}

async function runTry(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{backend, limitMs, onLimit}: Try,
): Promise<Outcome> {
	return new Promise((resolve) => {
		let isSettled = false;
		const settle = (outcome: Outcome): void => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			clearTimeout(timer);
			req.res.off('close', onLeft);
			resolve(outcome);
		};

		const onLeft = (): void => {
			settle({kind: 'ended', reason: 'left'});
			exchange.cancel();
		};

		const timer = setTimeout(() => {
			settle(onLimit);
			exchange.cancel();
		}, limitMs);
		req.res.once('close', onLeft);
		if (req.res.destroyed) {
			isSettled = true;
			clearTimeout(timer);
			resolve({kind: 'ended', reason: 'left'});
			return;
		}

		const exchange: Exchange = openExchange(
			{
				address: backend.address,
				method: req.method,
				path: req.path,
				headers: ctx.codec.createBackendHeaders(req.rawHeaders, {
					backend: backend.id,
					customer: req.customer,
					remainingMs: readRemaining(ctx, req),
					lastEventId: req.facts.lastEventId,
					bodyLength: req.body?.length,
				}),
				body: req.body,
			},
			{
				onAnswer(answer) {
					collect(ctx, req, answer, settle);
				},
				onFailure(failure) {
					settle({kind: 'failure', failure});
				},
			},
		);
	});
}

function sendBuffered(req: AcceptedRequest, answer: BufferedAnswer): void {
	const {status, body, rawHeaders} = answer;
	const headers = dropHeaders(rawHeaders, BODY_HEADERS);
	const isBodyless = req.method === 'HEAD' || status === 204 || status === 304;
	req.res.writeHead(
		status,
		isBodyless ? headers : [...headers, 'Content-Length', String(body.length)],
	);
	req.res.end(isBodyless ? undefined : body);
}

function pipeLarge(req: AcceptedRequest, {answer, head}: LargeAnswer): void {
	const {res} = req;
	res.writeHead(
		answer.statusCode ?? 0,
		dropHeaders(answer.rawHeaders, new Set()),
	);
	head.forEach((chunk) => res.write(chunk));
	res.once('close', () => {
		answer.destroy();
	});
	awaitEnd(
		answer,
		() => {
			res.end();
		},
		() => {
			// The caller must not take the part for the whole.
			res.destroy();
		},
	);
	answer.pipe(res, {end: false});
}

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
				ctx.reportCrash({
					digest: req.digest,
					backend: `${backend.id}/${backend.bornAt}`,
				});
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

function planTry(
	ctx: GatewayContext,
	req: AcceptedRequest,
	backend: BackendRecord,
	sent: number,
): Try {
	const {route} = req;
	const limitMs = Math.max(1, readRemaining(ctx, req));
	const slowMs = route.latencyTargetMs * SLOW_TRY_SHARE;
	const isShort =
		isRepeatable(route.kind, route.isResumable) &&
		sent + 1 < route.maxAttempts &&
		slowMs < limitMs / 2;
	const failure: AttemptFailure = {kind: 'failed', reason: 'too slow'};
	return isShort
		? {backend, limitMs: slowMs, onLimit: {kind: 'failure', failure}}
		: {backend, limitMs, onLimit: {kind: 'ended', reason: 'timeout'}};
}

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
	const decision = decideRetry(
		{
			...next,
			isRepeatable: isRepeatable(route.kind, route.isResumable),
			failure,
			maxAttempts: route.maxAttempts,
			remainingMs: readRemaining(ctx, req),
			hasBudget: isNotSent || ctx.budgets.spend(service.name),
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
