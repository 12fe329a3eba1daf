import {createTransition} from '@lovagevalve/core';
import {areAllGuardsEnabled, type IsGuardEnabled} from './guards.js';
import {createRequestKey} from './request-id.js';
import {
	evictOldRecords,
	findTrustedIssuedAt,
	isFull,
	isTooOld,
} from './retention.js';
import {lapseClaim, settle, settleRecord} from './settle.js';
import type {ClaimsState} from './state.js';
import {
	type ClaimsTransition,
	type CommandContext,
	createAnswer,
	replyWith,
} from './transition.js';
import type {ClaimEvent, ClaimRecord, ClaimRequest, Holder} from './types.js';

function isSameArrival(holder: Holder, request: ClaimRequest): boolean {
	return (
		holder.copy !== undefined &&
		holder.copy === request.copy &&
		holder.entry === request.entry &&
		holder.incarnation === request.incarnation
	);
}

function putRecord(
	{state, event}: CommandContext,
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
	{state, event}: CommandContext,
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
		issuedAt: findTrustedIssuedAt(request.requestId, event.at),
		answerBytes: 0,
	};
}

function grant(
	ctx: CommandContext,
	key: string,
	request: ClaimRequest,
): ClaimsTransition {
	const record = createRecord(ctx, request, 'granted');
	const updated = putRecord(ctx, key, record);
	const {dispatchWithinMs} = ctx.state.limits;
	return replyWith(
		{...updated, open: updated.open.set(record.claim, key)},
		{kind: 'granted', claim: record.claim, dispatchWithinMs},
	);
}

function isGrantable(
	record: ClaimRecord,
	request: ClaimRequest,
	isGuardEnabled: IsGuardEnabled,
): boolean {
	switch (record.state.kind) {
		case 'granted': {
			return !isGuardEnabled('grantOnce');
		}

		case 'not-run': {
			return (
				request.attempt > record.attempt ||
				!isGuardEnabled('attemptAboveNotRun')
			);
		}

		case 'unknown': {
			return !isGuardEnabled('unknownNotRetried');
		}

		case 'done': {
			return false;
		}
	}
}

function openExisting(
	ctx: CommandContext,
	key: string,
	request: ClaimRequest,
	record: ClaimRecord,
): ClaimsTransition {
	if (isGrantable(record, request, ctx.isGuardEnabled)) {
		return grant(ctx, key, request);
	}

	const isResend =
		record.state.kind === 'granted' && isSameArrival(record.holder, request);
	return replyWith(
		ctx.state,
		isResend
			? {
					kind: 'granted',
					claim: record.claim,
					dispatchWithinMs: ctx.state.limits.dispatchWithinMs,
				}
			: createAnswer(record),
	);
}

function refuseExisting(
	ctx: CommandContext,
	key: string,
	request: ClaimRequest,
	record: ClaimRecord,
): ClaimsTransition {
	const isNewerAttempt =
		record.state.kind === 'not-run' && request.attempt > record.attempt;
	if (isNewerAttempt) {
		return refuseNew(ctx, key, request);
	}

	const isHolderWithdrawing =
		record.state.kind === 'granted' && isSameArrival(record.holder, request);
	return isHolderWithdrawing
		? settleRecord(ctx, key, record, {kind: 'not-run'})
		: replyWith(ctx.state, createAnswer(record));
}

function refuseNew(
	ctx: CommandContext,
	key: string,
	request: ClaimRequest,
): ClaimsTransition {
	const notRun = {kind: 'not-run', attempt: request.attempt} as const;
	if (!ctx.isGuardEnabled('tombstoneBeforeNotRun')) {
		return replyWith(ctx.state, notRun);
	}

	const record = createRecord(ctx, request, 'not-run');
	return replyWith(putRecord(ctx, key, record), notRun);
}

function applyRequest(
	ctx: CommandContext,
	request: ClaimRequest,
	applyToNew: typeof grant,
	applyToExisting: typeof openExisting,
): ClaimsTransition {
	const {state, event, isGuardEnabled} = ctx;
	const key = createRequestKey(request.customer, request.requestId);
	const record = state.records.get(key);
	if (record !== undefined) {
		const isDigestMismatch = record.digest !== request.digest;
		return isDigestMismatch && isGuardEnabled('digestCheck')
			? replyWith(state, {kind: 'conflict'})
			: applyToExisting(ctx, key, request, record);
	}

	if (isTooOld(state, key, request.requestId, isGuardEnabled)) {
		return replyWith(state, {kind: 'too-old'});
	}

	return isFull(state, findTrustedIssuedAt(request.requestId, event.at))
		? replyWith(state, {kind: 'overloaded'})
		: applyToNew(ctx, key, request);
}

function applyCommand(ctx: CommandContext): ClaimsTransition {
	const {command} = ctx.event;
	switch (command.kind) {
		case 'open': {
			return applyRequest(ctx, command.request, grant, openExisting);
		}

		case 'refuse': {
			return applyRequest(ctx, command.request, refuseNew, refuseExisting);
		}

		case 'settle': {
			return settle(ctx, command);
		}

		case 'lapse': {
			return createTransition(command.claims.reduce(lapseClaim, ctx.state));
		}
	}
}

/** Creates the step function of the claims table with the rules that are enabled. */
export function createClaimsStep(isGuardEnabled: IsGuardEnabled) {
	return (previous: ClaimsState, event: ClaimEvent): ClaimsTransition => {
		const state = evictOldRecords(previous, event.at, event.retentionMs);
		return applyCommand({state, event, isGuardEnabled});
	};
}

/** Applies one committed command to the claims table. */
export const stepClaims = createClaimsStep(areAllGuardsEnabled);
