import {createTransition} from '@lovagevalve/core';
import {isAlwaysGuarded, type IsGuarded} from './guards.js';
import {answer, type Context, describeRecord, type Outcome} from './outcome.js';
import {createRequestKey} from './request-id.js';
import {evictOldRecords, findIssuedAt, isFull, isTooOld} from './retention.js';
import {lapseOne, settle, settleRecord} from './settle.js';
import type {ClaimsState} from './state.js';
import type {ClaimEvent, ClaimRecord, ClaimRequest, Holder} from './types.js';

function isSameCopy(holder: Holder, request: ClaimRequest): boolean {
	return (
		holder.copy !== undefined &&
		holder.copy === request.copy &&
		holder.entry === request.entry &&
		holder.incarnation === request.incarnation
	);
}

function putRecord(
	{state, event}: Context,
	key: string,
	record: ClaimRecord,
): ClaimsState {
	const isNew = !state.records.has(key);
	const checkAt = event.at + event.retentionMs + 1;
	return {
		...state,
		records: state.records.set(key, record),
		nextClaim: state.nextClaim + 1,
		checks: isNew ? state.checks.push({key, checkAt}) : state.checks,
	};
}

function createRecord(
	{state, event}: Context,
	request: ClaimRequest,
	kind: 'granted' | 'not-run',
): ClaimRecord {
	const {entry, incarnation, copy, digest, attempt} = request;
	return {
		claim: `c${state.nextClaim}`,
		digest,
		attempt,
		holder: {entry, incarnation, copy},
		state: {kind},
		issuedAt: findIssuedAt(request.requestId, event.at),
		answerBytes: 0,
	};
}

function grant(ctx: Context, key: string, request: ClaimRequest): Outcome {
	const record = createRecord(ctx, request, 'granted');
	const put = putRecord(ctx, key, record);
	const {dispatchWithinMs} = ctx.state.limits;
	return answer(
		{...put, open: put.open.set(record.claim, key)},
		{kind: 'granted', claim: record.claim, dispatchWithinMs},
	);
}

function isGrantable(
	record: ClaimRecord,
	request: ClaimRequest,
	isGuarded: IsGuarded,
): boolean {
	switch (record.state.kind) {
		case 'granted': {
			return !isGuarded('grantOnce');
		}

		case 'not-run': {
			return (
				request.attempt > record.attempt || !isGuarded('attemptAboveNotRun')
			);
		}

		case 'unknown': {
			return !isGuarded('unknownNotRetried');
		}

		case 'done': {
			return false;
		}
	}
}

function openKnown(
	ctx: Context,
	key: string,
	request: ClaimRequest,
	record: ClaimRecord,
): Outcome {
	if (isGrantable(record, request, ctx.isGuarded)) {
		return grant(ctx, key, request);
	}

	const isResend =
		record.state.kind === 'granted' && isSameCopy(record.holder, request);
	return answer(
		ctx.state,
		isResend
			? {
					kind: 'granted',
					claim: record.claim,
					dispatchWithinMs: ctx.state.limits.dispatchWithinMs,
				}
			: describeRecord(record),
	);
}

function refuseKnown(
	ctx: Context,
	key: string,
	request: ClaimRequest,
	record: ClaimRecord,
): Outcome {
	const isRaised =
		record.state.kind === 'not-run' && request.attempt > record.attempt;
	if (isRaised) {
		return refuseNew(ctx, key, request);
	}

	const isWithdrawn =
		record.state.kind === 'granted' && isSameCopy(record.holder, request);
	return isWithdrawn
		? settleRecord(ctx, key, record, {kind: 'not-run'})
		: answer(ctx.state, describeRecord(record));
}

function refuseNew(ctx: Context, key: string, request: ClaimRequest): Outcome {
	const notRun = {kind: 'not-run', attempt: request.attempt} as const;
	if (!ctx.isGuarded('tombstoneBeforeNotRun')) {
		return answer(ctx.state, notRun);
	}

	const record = createRecord(ctx, request, 'not-run');
	return answer(putRecord(ctx, key, record), notRun);
}

function applyRequest(
	ctx: Context,
	request: ClaimRequest,
	applyNew: typeof grant,
	applyKnown: typeof openKnown,
): Outcome {
	const {state, event, isGuarded} = ctx;
	const key = createRequestKey(request.customer, request.requestId);
	const record = state.records.get(key);
	if (record !== undefined) {
		const isOtherBody = record.digest !== request.digest;
		return isOtherBody && isGuarded('digestCheck')
			? answer(state, {kind: 'conflict'})
			: applyKnown(ctx, key, request, record);
	}

	if (isTooOld(state, key, request.requestId, isGuarded)) {
		return answer(state, {kind: 'too-old'});
	}

	return isFull(state, findIssuedAt(request.requestId, event.at))
		? answer(state, {kind: 'overloaded'})
		: applyNew(ctx, key, request);
}

function applyCommand(ctx: Context): Outcome {
	const {command} = ctx.event;
	switch (command.kind) {
		case 'open': {
			return applyRequest(ctx, command.request, grant, openKnown);
		}

		case 'refuse': {
			return applyRequest(ctx, command.request, refuseNew, refuseKnown);
		}

		case 'settle': {
			return settle(ctx, command);
		}

		case 'lapse': {
			return createTransition(command.claims.reduce(lapseOne, ctx.state));
		}
	}
}

/** Creates the step of the claims table with some rules switched off. */
export function createClaimsStep(isGuarded: IsGuarded) {
	return (previous: ClaimsState, event: ClaimEvent): Outcome => {
		const state = evictOldRecords(previous, event.at, event.retentionMs);
		return applyCommand({state, event, isGuarded});
	};
}

/** Applies one committed command to the claims table. */
export const stepClaims = createClaimsStep(isAlwaysGuarded);
