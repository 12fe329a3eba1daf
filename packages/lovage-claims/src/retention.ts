import type {IsGuarded} from './guards.js';
import {createSpentDigest, MAX_AHEAD_MS, readIssuedAt} from './request-id.js';
import type {ClaimsState} from './state.js';
import type {ClaimRecord} from './types.js';

const CHECKS_PER_COMMAND = 8;

/** Time of a request id as the table uses it; absent for an opaque id. */
export function findIssuedAt(
	requestId: string,
	at: number,
): number | undefined {
	const issuedAt = readIssuedAt(requestId);
	return issuedAt === undefined || issuedAt > at + MAX_AHEAD_MS
		? undefined
		: issuedAt;
}

/** Tells whether the record of a request id may have been evicted. */
export function isTooOld(
	state: ClaimsState,
	key: string,
	requestId: string,
	isGuarded: IsGuarded,
): boolean {
	if (!isGuarded('retentionHorizon')) {
		return false;
	}

	const issuedAt = readIssuedAt(requestId);
	const isBeforeHorizon = issuedAt !== undefined && issuedAt < state.horizon;
	return isBeforeHorizon || state.spent.has(createSpentDigest(key));
}

/** Tells whether the table has no room for the record of a new request id. */
export function isFull(
	state: ClaimsState,
	issuedAt: number | undefined,
): boolean {
	const {records, spent, limits} = state;
	const kept = records.size;
	// Each opaque id ends up among the spent ids.
	return issuedAt === undefined
		? kept >= limits.records || kept + spent.size >= limits.spentIds
		: kept >= limits.records;
}

function isEvictable(state: ClaimsState, record: ClaimRecord): boolean {
	if (record.state.kind === 'granted') {
		return false;
	}

	return record.issuedAt === undefined || record.issuedAt < state.horizon;
}

function evict(
	state: ClaimsState,
	key: string,
	record: ClaimRecord,
): ClaimsState {
	return {
		...state,
		records: state.records.delete(key),
		spent:
			record.issuedAt === undefined
				? state.spent.add(createSpentDigest(key))
				: state.spent,
		answerBytes: state.answerBytes - record.answerBytes,
	};
}

function checkFirst(
	state: ClaimsState,
	at: number,
	retentionMs: number,
): ClaimsState {
	const check = state.checks.first();
	if (check === undefined || check.checkAt > at) {
		return state;
	}

	const record = state.records.get(check.key);
	const rest = {...state, checks: state.checks.shift()};
	if (record === undefined) {
		return rest;
	}

	if (isEvictable(rest, record)) {
		return evict(rest, check.key, record);
	}

	const checkAt = Math.max(at, record.issuedAt ?? at) + retentionMs + 1;
	return {...rest, checks: rest.checks.push({key: check.key, checkAt})};
}

/** Moves the horizon and evicts a bounded number of records. */
export function evictOldRecords(
	state: ClaimsState,
	at: number,
	retentionMs: number,
): ClaimsState {
	const horizon = Math.max(state.horizon, at - retentionMs);
	return Array.from({length: CHECKS_PER_COMMAND}).reduce<ClaimsState>(
		(current) => checkFirst(current, at, retentionMs),
		{...state, horizon},
	);
}
