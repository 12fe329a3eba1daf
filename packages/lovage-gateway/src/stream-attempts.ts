import {
	type AttemptFailure,
	type BackendRecord,
	decideRetry,
	isRepeatable,
	type RetryDecision,
	type RetryInputs,
} from '@lovagevalve/dispatch';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {decideWithinBudget} from './retry-budgets.js';
import type {StreamDelivery} from './stream-delivery.js';
import {recordLoss, type Run} from './stream-run.js';

/** The attempts at one stream so far, and whether another one may follow. */
export type StreamAttempts = Readonly<{
	/** Backend servers that must not receive the stream again. */
	listExcluded: () => readonly string[];
	/** Data centres in which a run of the stream failed. */
	listFailedDataCentres: () => readonly string[];
	countSent: () => number;
	countMoves: () => number;
	/** Whether a backend server may have run the request. */
	hasRun: () => boolean;
	recordStart: (backend: BackendRecord) => void;
	/** Updates the health of the backend server and what the failure rules out. */
	recordFailure: (run: Run, failure: AttemptFailure) => void;
	/** Allows the excluded backend servers again, when no other one is left. */
	clearExcluded: () => void;
	/**
	 * Decides about the next attempt, and spends a retry if it follows. A run that
	 * only lacked its copy may be repeated at the same backend server.
	 */
	decideNext: (
		run: Run,
		failure: AttemptFailure,
		shouldRetryWithoutCopy: boolean,
	) => RetryDecision;
	/** Whether attempts and retry budget allow a run that replaces a silent one. */
	canReplaceRun: () => boolean;
}>;

/** Creates the record of a stream without attempts. */
export function createStreamAttempts(
	ctx: GatewayContext,
	req: AcceptedRequest,
	delivery: StreamDelivery,
): StreamAttempts {
	const {route, service} = req;
	const excluded: string[] = [];
	const failedDataCentres: string[] = [];
	/** Backend servers that the request was sent to. */
	const sentTo = new Set<string>();
	let attempts = 0;
	let deaths = 0;
	let moves = 0;
	let hasRun = false;

	/** The result of its probe counts from the next failure on. */
	const countDeath = async (run: Run): Promise<void> => {
		const isSuspected = await recordLoss(ctx, req, run);
		deaths += isSuspected ? 1 : 0;
	};

	const createRetryInputs = (
		failure: AttemptFailure,
		sent = sentTo.size,
	): Omit<RetryInputs, 'hasBudget'> & Readonly<{isLate: boolean}> => ({
		isRepeatable: isRepeatable(route.kind, route.isResumable),
		failure,
		sent,
		attempts,
		maxAttempts: route.maxAttempts,
		isQuarantined: ctx.crashes.findQuarantined(req) !== undefined,
		deaths,
		remainingMs: readRemainingMs(ctx, req),
		canWait: delivery.hasBegun() || req.origin !== undefined,
		isLate: delivery.isLate(),
	});

	return {
		listExcluded: () => excluded,
		listFailedDataCentres: () => failedDataCentres,
		countSent: () => sentTo.size,
		countMoves: () => moves,
		hasRun: () => hasRun,
		recordStart({id}) {
			attempts += 1;
			sentTo.add(id);
		},
		recordFailure(run, failure) {
			const {backend} = run;
			switch (failure.kind) {
				case 'not-sent': {
					sentTo.delete(backend.id);
					if (failure.isBlameless !== true) {
						ctx.view.reportHealth(backend, 'unreachable');
					}

					break;
				}

				case 'rejected': {
					ctx.view.recordRejection(backend);
					break;
				}

				case 'failed': {
					hasRun = true;
					if (failure.isBlameless !== true) {
						ctx.view.reportHealth(backend, 'failed');
					}

					break;
				}

				case 'lost': {
					hasRun = true;
					if (failure.isFlood === true) {
						ctx.view.reportHealth(backend, 'flooded');
						break;
					}

					void req.guard.settle(countDeath(run));
					break;
				}
			}
		},
		clearExcluded() {
			excluded.length = 0;
		},
		decideNext({backend}, failure, shouldRetryWithoutCopy) {
			const decision = decideWithinBudget(
				ctx.retryBudgets,
				service.name,
				createRetryInputs(
					failure,
					sentTo.size - (shouldRetryWithoutCopy ? 1 : 0),
				),
				hasRun,
			);
			if (decision.kind !== 'retry') {
				return decision;
			}

			moves += 1;
			if (!shouldRetryWithoutCopy) {
				excluded.push(backend.id);
			}

			if (failure.kind !== 'rejected') {
				failedDataCentres.push(backend.dataCentre);
			}

			return decision;
		},
		canReplaceRun() {
			const inputs = createRetryInputs({kind: 'lost', reason: 'silent'});
			const hasBudget = ctx.retryBudgets.hasLeft(service.name, inputs.isLate);
			return decideRetry({...inputs, hasBudget}, true).kind === 'retry';
		},
	};
}
