import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	type AttemptFailure,
	type BackendRecord,
	isRepeatable,
} from '@lovagevalve/dispatch';
import {awaitEnd, openExchange, type Exchange} from './backend-exchange.js';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemaining,
} from './context.js';

/** An answer that is buffered as a whole before the caller gets any of it. */
export type BufferedAnswer = Readonly<{
	kind: 'answer';
	status: number;
	rawHeaders: readonly string[];
	body: Uint8Array;
}>;
/** An answer too large to be buffered; the rest is piped. */
export type LargeAnswer = Readonly<{
	kind: 'large';
	answer: IncomingMessage;
	head: readonly Uint8Array[];
}>;
/** How one try at a backend server ended. */
export type Outcome =
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

/** A try that is planned. */
export type Try = Readonly<{
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

/** Sends a request to a backend server once. */
export async function runTry(
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

/** Plans a try: one that may be repeated gives up before the caller's time is over. */
export function planTry(
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
