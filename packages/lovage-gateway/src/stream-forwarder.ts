import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	type AttemptFailure,
	type BackendRecord,
	isRepeatable,
} from '@lovagevalve/dispatch';
import {endWithOwnAnswer, recordEnd, RETRY_AFTER_MS} from './answers.js';
import {awaitEnd, openExchange} from './backend-exchange.js';
import {
	type AcceptedRequest,
	describeWork,
	type GatewayContext,
	readRemaining,
} from './context.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import {decideWithinBudget} from './retry-budgets.js';
import {createRunProtection} from './run-protection.js';
import {createStreamDelivery} from './stream-delivery.js';
import {
	judgeRun,
	noteLoss,
	probeRun,
	type FormerRun,
	type Run,
} from './stream-run.js';

/** A stream that goes on at other backend servers until it is whole. */
export type StreamRelay = Readonly<{
	/** Sends the request; the end may come before this returns. */
	start: () => void;
	/** Looks for silence; called several times a second. */
	tick: () => void;
}>;

const SUCCESS = 200;
/** Pause before a stream that has begun is offered again when no backend server took it. */
const REOFFER_INTERVAL_MS = 200;

/** Forwards a request whose answer is a stream of events; `onEnd` is called once. */
export function createStreamRelay(
	ctx: GatewayContext,
	req: AcceptedRequest,
	onEnd: () => void,
): StreamRelay {
	const {route, service, res, facts} = req;
	const canRepeat = isRepeatable(route.kind, route.isResumable);
	const excluded: string[] = [];
	const lostAt: string[] = [];
	let run: Run | undefined;
	const delivery = createStreamDelivery(ctx, req);
	let isEnded = false;
	/** Backend servers that were sent the request. */
	const sentTo = new Set<string>();
	let tries = 0;
	let deaths = 0;
	let moves = 0;
	let hasRun = false;
	let reofferTimer: NodeJS.Timeout | undefined;

	const closeRun = (): void => {
		if (run !== undefined && !run.isOver) {
			run.isOver = true;
			run.exchange?.cancel();
			run.placement.release();
		}
	};

	const finish = (): void => {
		if (!isEnded) {
			isEnded = true;
			clearTimeout(deadlineTimer);
			clearTimeout(reofferTimer);
			closeRun();
			onEnd();
		}
	};

	const record = (status: number, reason: string): void => {
		recordEnd(ctx, req, {
			status,
			reason,
			sent: sentTo.size,
			backend: run?.backend.id,
			details: {moves, ...delivery.readTimes()},
		});
	};

	/** Ends a stream that can't be completed. */
	const breakOff = (status: 502 | 503 | 504, reason: string): void => {
		if (isEnded) {
			return;
		}

		if (delivery.hasBegun()) {
			record(status, reason);
			delivery.breakOff();
		} else {
			const retryAfterMs = status === 503 ? RETRY_AFTER_MS : undefined;
			endWithOwnAnswer(ctx, req, {status, reason, retryAfterMs}, sentTo.size);
		}

		finish();
	};

	const deliver = (
		current: Run,
		answer: IncomingMessage,
		event: StreamEvent,
	): void => {
		current.heardAt = ctx.clock.now();
		if (!current.hasStarted) {
			current.hasStarted = true;
			current.placement.markStarted();
			ctx.view.signal(current.backend, 'answered');
		}

		delivery.deliver(answer, event, () => {
			current.heardAt = ctx.clock.now();
		});
	};

	const relay = (current: Run, answer: IncomingMessage): void => {
		const splitter = createEventSplitter();
		answer.on('data', (chunk: Uint8Array) => {
			if (current.isOver) {
				return;
			}

			splitter.push(chunk).forEach((event) => {
				deliver(current, answer, event);
			});
		});
		const onBroken = (): void => {
			fail(current, {kind: 'lost', reason: 'the stream broke off'});
		};

		const onWhole = (): void => {
			if (current.isOver) {
				return;
			}

			if (splitter.hasRest()) {
				onBroken();
				return;
			}

			record(SUCCESS, moves > 0 ? 'moved' : 'backend server');
			current.protection.release();
			delivery.complete(answer);
			finish();
		};

		awaitEnd(answer, onWhole, onBroken);
	};

	/** Passes a failure of the backend server's own on. */
	const passOn = (current: Run, answer: IncomingMessage): void => {
		const chunks: Uint8Array[] = [];
		answer.on('data', (chunk: Uint8Array) => chunks.push(chunk));
		const onWhole = (): void => {
			if (current.isOver || isEnded) {
				return;
			}

			record(answer.statusCode ?? 0, 'backend server');
			delivery.passOn(answer, Buffer.concat(chunks));
			finish();
		};

		awaitEnd(answer, onWhole, () => {
			fail(current, {kind: 'lost', reason: 'the answer broke off'});
		});
	};

	const onAnswer = (current: Run, answer: IncomingMessage): void => {
		if (current.isOver) {
			answer.destroy();
			return;
		}

		const status = answer.statusCode ?? 0;
		const {requestId, isNotRun} = ctx.codec.readAnswer(status, answer.headers);
		if (isNotRun) {
			fail(current, {kind: 'rejected', reason: `not run: ${status}`});
		} else if (requestId !== facts.id) {
			const reason = 'the answer belongs to another request';
			fail(current, {kind: 'lost', reason});
		} else if (status === SUCCESS) {
			relay(current, answer);
		} else if (
			delivery.hasBegun() ||
			(status >= 500 && canRepeat && sentTo.size < route.maxAttempts)
		) {
			fail(current, {kind: 'failed', reason: String(status)});
		} else {
			passOn(current, answer);
		}
	};

	const chooseBackup = (backend: BackendRecord): BackendRecord | undefined => {
		if (service.engine?.canBackUp !== true || !canRepeat) {
			return undefined;
		}

		const avoided = [...excluded, backend.id];
		const away = [...lostAt, backend.dataCentre];
		const work = describeWork(ctx, req, avoided, away);
		return ctx.view.choose(service.name, work, ctx.draw());
	};

	const start = (former?: FormerRun): void => {
		const lastEventId = delivery.readLastEventId();
		const held = lastEventId === undefined ? undefined : former?.held;
		const work = describeWork(ctx, req, excluded, lostAt);
		const backend =
			held?.backend ??
			(former?.isAskedAgain
				? former.backend
				: ctx.view.choose(service.name, work, ctx.draw()));
		if (backend === undefined) {
			offerLater('no backend server is known');
			return;
		}

		const backup = chooseBackup(backend);
		const placedWork = held === undefined ? work : {...work, promptTokens: 0};
		const current: Run = {
			backend,
			protection: createRunProtection({
				ctx,
				requestId: facts.id,
				backend,
				backup,
				canCopy: canRepeat && service.engine?.canCopy === true,
				chooseBackup: () => chooseBackup(backend),
			}),
			hasCopy: held !== undefined,
			placement: ctx.view.place(backend, placedWork),
			exchange: undefined,
			hasStarted: false,
			heardAt: ctx.clock.now(),
			probe: 'none',
			probedAt: 0,
			isOver: false,
		};
		run = current;
		tries += 1;
		sentTo.add(backend.id);
		current.exchange = openExchange(
			{
				address: backend.address,
				method: req.method,
				path: req.path,
				headers: ctx.codec.createBackendHeaders(req.rawHeaders, {
					backend: backend.id,
					customer: req.customer,
					remainingMs: readRemaining(ctx, req),
					backupAddress: backup?.address,
					lastEventId,
					copy: held?.copy,
					bodyLength: req.body?.length,
				}),
				body: req.body,
			},
			{
				onAnswer(answer) {
					onAnswer(current, answer);
				},
				onFailure(failure) {
					fail(current, failure);
				},
			},
		);
		if (former !== undefined) {
			ctx.log.info('A stream goes on elsewhere.', {
				request: facts.id,
				from: former.backend.id,
				to: backend.id,
				hasCopy: held !== undefined,
				lastEventId: delivery.readLastEventId() ?? '',
			});
		}
	};

	/** A stream that has begun waits for a backend server; a new one is refused. */
	const offerLater = (reason: string): void => {
		if (!delivery.hasBegun()) {
			breakOff(hasRun ? 502 : 503, reason);
			return;
		}

		excluded.length = 0;
		reofferTimer = setTimeout(() => {
			if (!isEnded) {
				start();
			}
		}, REOFFER_INTERVAL_MS);
	};

	const noteFailure = (current: Run, failure: AttemptFailure): void => {
		switch (failure.kind) {
			case 'not-sent': {
				sentTo.delete(current.backend.id);
				ctx.view.signal(current.backend, 'unreachable');
				break;
			}

			case 'rejected': {
				break;
			}

			case 'failed': {
				hasRun = true;
				ctx.view.signal(current.backend, 'failed');
				break;
			}

			case 'lost': {
				hasRun = true;
				void noteLoss(ctx, req.digest, current);
				break;
			}
		}
	};

	const fail = (current: Run, failure: AttemptFailure): void => {
		if (current.isOver || isEnded) {
			return;
		}

		const {backend, protection} = current;
		const held = protection.findCopy();
		const isAskedAgain = current.hasCopy && failure.kind === 'rejected';
		closeRun();
		noteFailure(current, failure);
		deaths += failure.kind === 'lost' && current.probe === 'dead' ? 1 : 0;
		const decision = decideWithinBudget(
			ctx.budgets,
			service.name,
			{
				isRepeatable: canRepeat,
				failure,
				sent: sentTo.size - (isAskedAgain ? 1 : 0),
				tries,
				maxAttempts: route.maxAttempts,
				deaths,
				remainingMs: readRemaining(ctx, req),
			},
			hasRun,
		);
		ctx.log.warn('A run of a stream failed.', {
			request: facts.id,
			backend: backend.id,
			failure: failure.kind,
			reason: failure.reason,
			sent: sentTo.size,
			decision: decision.kind,
			lastEventId: delivery.readLastEventId() ?? '',
		});
		switch (decision.kind) {
			case 'retry': {
				moves += 1;
				if (!isAskedAgain) {
					excluded.push(backend.id);
				}

				if (failure.kind === 'rejected') {
					start({backend, held: undefined, isAskedAgain});
				} else {
					lostAt.push(backend.dataCentre);
					start({backend, held, isAskedAgain});
				}

				break;
			}

			case 'refuse': {
				breakOff(delivery.hasBegun() ? 502 : 503, failure.reason);
				break;
			}

			case 'fail': {
				breakOff(502, failure.reason);
				break;
			}
		}
	};

	const probe = async (current: Run): Promise<void> => {
		await probeRun(ctx, current);
		tick();
	};

	const tick = (): void => {
		const current = run;
		if (
			isEnded ||
			delivery.isPaused() ||
			!canRepeat ||
			current === undefined ||
			current.isOver
		) {
			return;
		}

		const hasEvents = delivery.readLastEventId() !== undefined;
		const silentMs = ctx.clock.now() - current.heardAt;
		const decision = judgeRun(ctx, req, current, hasEvents);
		switch (decision) {
			case 'wait': {
				if (current.hasStarted) {
					current.protection.advance();
				}

				if (current.probe === 'alive' && silentMs < route.gapTargetMs / 2) {
					current.probe = 'none';
				}

				break;
			}

			case 'probe': {
				void probe(current);
				break;
			}

			case 'move': {
				const reason = `silent for ${Math.round(silentMs)} ms, probe ${current.probe}`;
				fail(current, {kind: 'lost', reason});
				break;
			}
		}
	};

	const deadlineTimer = setTimeout(
		() => {
			breakOff(504, 'timeout');
		},
		Math.max(1, readRemaining(ctx, req)),
	);
	res.once('close', () => {
		if (!isEnded) {
			record(499, 'the caller left');
			finish();
		}
	});
	return {
		start() {
			start();
		},
		tick,
	};
}
