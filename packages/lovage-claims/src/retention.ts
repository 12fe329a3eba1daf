import type {IsGuardEnabled} from './guards.js';
import {
	createSpentDigest,
	MAX_ISSUED_AHEAD_MS,
	parseIssuedAt,
} from './request-id.js';
import type {ClaimsState} from './state.js';
import type {ClaimRecord} from './types.js';

const MAX_CHECKS_PER_COMMAND = 8;

/** Returns the time of a request id; `undefined` if it has none or is too far ahead. */
export function findTrustedIssuedAt(
	requestId: string,
	at: number,
): number | undefined {
	const issuedAt = parseIssuedAt(requestId);
	return issuedAt === undefined || issuedAt > at + MAX_ISSUED_AHEAD_MS
		? undefined
		: issuedAt;
}

/** Returns whether the record of a request id may have been evicted. */
export function isTooOld(
	state: ClaimsState,
	key: string,
	requestId: string,
	isGuardEnabled: IsGuardEnabled,
): boolean {
	if (!isGuardEnabled('retentionHorizon')) {
		return false;
	}

	const issuedAt = parseIssuedAt(requestId);
	const isBeforeHorizon = issuedAt !== undefined && issuedAt < state.horizon;
	return isBeforeHorizon || state.spent.has(createSpentDigest(key));
}

/** Returns whether the table has no room for the record of a new request id. */
export function isFull(
	state: ClaimsState,
	issuedAt: number | undefined,
): boolean {
	const {records, spent, limits} = state;
	const recordCount = records.size;
	// Every opaque id is added to the spent ids when its record is evicted.
	return issuedAt === undefined
		? recordCount >= limits.records ||
				recordCount + spent.size >= limits.spentIds
		: recordCount >= limits.records;
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

function processFirstCheck(
	state: ClaimsState,
	at: number,
	retentionMs: number,
): ClaimsState {
	const check = state.checks.first();
	if (check === undefined || check.checkAt > at) {
		return state;
	}

	const record = state.records.get(check.key);
	const remaining = {...state, checks: state.checks.shift()};
	if (record === undefined) {
		return remaining;
	}

	if (isEvictable(remaining, record)) {
		return evict(remaining, check.key, record);
	}

	const checkAt = Math.max(at, record.issuedAt ?? at) + retentionMs + 1;
	return {
		...remaining,
		checks: remaining.checks.push({key: check.key, checkAt}),
	};
}

/** Advances the retention horizon and evicts a limited number of old records. */
export function evictOldRecords(
	state: ClaimsState,
	at: number,
	retentionMs: number,
): ClaimsState {
	const horizon = Math.max(state.horizon, at - retentionMs);
	return Array.from({length: MAX_CHECKS_PER_COMMAND}).reduce<ClaimsState>(
		(current) => processFirstCheck(current, at, retentionMs),
		{...state, horizon},
	);
}
