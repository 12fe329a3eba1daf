import type {IncomingMessage} from 'node:http';
import {
	type AttemptFailure,
	type BackendRecord,
	decideRetry,
	isRepeatable,
} from '@lovagevalve/dispatch';
import {endWithOwnAnswer, recordEnd, RETRY_AFTER_MS} from './answers.js';
import {openExchange, probeAddress, type Exchange} from './backend-exchange.js';
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
	body: Buffer;
}>;
/** An answer too large to be buffered; the rest is piped. */
type LargeAnswer = Readonly<{
	kind: 'large';
	answer: IncomingMessage;
	head: readonly Buffer[];
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

	const chunks: Buffer[] = [];
	let size = 0;
	const onData = (chunk: Buffer): void => {
		chunks.push(chunk);
		size += chunk.length;
		if (size > MAX_BUFFERED_BYTES) {
			answer.off('data', onData);
			answer.pause();
			settle({kind: 'large', answer, head: chunks});
		}
	};

	answer.on('data', onData);
	answer.on('end', () => {
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
	});
	answer.on('error', () => {
		const reason = 'the answer broke off';
		settle({kind: 'failure', failure: {kind: 'lost', reason}});
	});
}

async function runTry(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{backend, limitMs, onLimit}: Try,
): Promise<Outcome> {
	return new Promise((resolve) => {
		let isSettled = false;
		let exchange: Exchange | undefined;
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
			exchange?.cancel();
		};

		const timer = setTimeout(() => {
			settle(onLimit);
			exchange?.cancel();
		}, limitMs);
		req.res.once('close', onLeft);
		exchange = openExchange(
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
	answer.on('error', () => {
		// The caller must not take the part for the whole.
		res.destroy();
	});
	res.once('close', () => {
		answer.destroy();
	});
	answer.pipe(res);
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

/** Forwards a request that gets one answer. */
export async function forwardPlain(
	ctx: GatewayContext,
	req: AcceptedRequest,
): Promise<void> {
	const {route, service, res} = req;
	const canRepeat = isRepeatable(route.kind, route.isResumable);
	const excluded: string[] = [];
	let sent = 0;
	let tries = 0;
	let deaths = 0;
	let hasRun = false;

	const planTry = (backend: BackendRecord): Try => {
		const limitMs = Math.max(1, readRemaining(ctx, req));
		const slowMs = route.latencyTargetMs * SLOW_TRY_SHARE;
		const isShort =
			canRepeat && sent + 1 < route.maxAttempts && slowMs < limitMs / 2;
		const failure: AttemptFailure = {kind: 'failed', reason: 'too slow'};
		return isShort
			? {backend, limitMs: slowMs, onLimit: {kind: 'failure', failure}}
			: {backend, limitMs, onLimit: {kind: 'ended', reason: 'timeout'}};
	};

	for (;;) {
		const work = describeWork(ctx, req, excluded, []);
		const backend = ctx.view.choose(service.name, work, ctx.draw());
		if (backend === undefined) {
			const isUnknown = hasRun && !canRepeat;
			endWithOwnAnswer(
				ctx,
				req,
				isUnknown
					? {status: 502, reason: 'no backend server is left'}
					: {
							status: hasRun ? 502 : 503,
							reason: 'no backend server is known',
							...(hasRun ? {} : {retryAfterMs: RETRY_AFTER_MS}),
						},
				sent,
			);
			return;
		}

		tries += 1;
		const placement = ctx.view.place(backend, work);
		// eslint-disable-next-line no-await-in-loop -- one try after the other
		const outcome = await runTry(ctx, req, planTry(backend));
		placement.release();
		switch (outcome.kind) {
			case 'answer': {
				ctx.view.signal(backend, 'answered');
				recordEnd(ctx, req, {
					status: outcome.status,
					reason: 'backend server',
					sent: sent + 1,
					backend: backend.id,
				});
				sendBuffered(req, outcome);
				return;
			}

			case 'large': {
				ctx.view.signal(backend, 'answered');
				pipeLarge(req, outcome);
				return;
			}

			case 'ended': {
				if (outcome.reason === 'timeout') {
					ctx.view.signal(backend, 'failed');
				}

				endWithOwnAnswer(
					ctx,
					req,
					{status: 504, reason: outcome.reason},
					sent + 1,
				);
				return;
			}

			case 'failure': {
				const {failure} = outcome;
				// eslint-disable-next-line no-await-in-loop
				const hasDied = await examineFailure(ctx, req, backend, failure);
				deaths += hasDied ? 1 : 0;
				sent += failure.kind === 'not-sent' ? 0 : 1;
				excluded.push(backend.id);
				const decision = decideRetry(
					{
						isRepeatable: canRepeat,
						failure,
						sent,
						tries,
						maxAttempts: route.maxAttempts,
						deaths,
						remainingMs: readRemaining(ctx, req),
						hasBudget:
							failure.kind === 'not-sent' || ctx.budgets.spend(service.name),
					},
					hasRun,
				);
				hasRun ||= failure.kind === 'lost' || failure.kind === 'failed';
				ctx.log.warn('A try failed.', {
					request: req.facts.id,
					backend: backend.id,
					failure: failure.kind,
					reason: failure.reason,
					sent,
					decision: decision.kind,
				});
				if (res.destroyed) {
					return;
				}

				if (decision.kind === 'retry') {
					continue;
				}

				if (outcome.answer !== undefined) {
					recordEnd(ctx, req, {
						status: outcome.answer.status,
						reason: 'backend server',
						sent,
						backend: backend.id,
					});
					sendBuffered(req, outcome.answer);
					return;
				}

				endWithOwnAnswer(
					ctx,
					req,
					decision.kind === 'refuse'
						? {
								status: 503,
								reason: failure.reason,
								retryAfterMs: RETRY_AFTER_MS,
							}
						: {status: 502, reason: failure.reason},
					sent,
				);
				return;
			}
		}
	}
}
