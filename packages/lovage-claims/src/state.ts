import {List, Map, Set} from 'immutable';
import type {ClaimLimits, ClaimRecord} from './types.js';

/** When the record of a request is to be looked at for eviction. */
export type RetentionCheck = Readonly<{key: string; checkAt: number}>;

/** The replicated table of claims. */
export type ClaimsState = Readonly<{
	limits: ClaimLimits;
	records: Map<string, ClaimRecord>;
	/** Claims that were granted and are neither settled nor lapsed. */
	open: Map<string, string>;
	checks: List<RetentionCheck>;
	/** Digests of the evicted ids that carry no time. */
	spent: Set<string>;
	/** Ids that carry an earlier time are refused; milliseconds. */
	horizon: number;
	nextClaim: number;
	answerBytes: number;
}>;

/** A table as it stands in a snapshot. */
export type ClaimsSnapshot = Readonly<{
	limits: ClaimLimits;
	records: ReadonlyArray<readonly [string, ClaimRecord]>;
	open: ReadonlyArray<readonly [string, string]>;
	checks: readonly RetentionCheck[];
	spent: readonly string[];
	horizon: number;
	nextClaim: number;
	answerBytes: number;
}>;

/** Creates an empty table. */
export function createClaims(limits: ClaimLimits): ClaimsState {
	return {
		limits,
		records: Map(),
		open: Map(),
		checks: List(),
		spent: Set(),
		horizon: 0,
		nextClaim: 1,
		answerBytes: 0,
	};
}

/** Writes the table as plain data. */
export function encodeClaims(state: ClaimsState): ClaimsSnapshot {
	return {
		...state,
		records: [...state.records.entries()],
		open: [...state.open.entries()],
		checks: [...state.checks],
		spent: [...state.spent],
	};
}

/** Reads a table back from plain data. */
export function decodeClaims(snapshot: ClaimsSnapshot): ClaimsState {
	return {
		...snapshot,
		records: Map(snapshot.records),
		open: Map(snapshot.open),
		checks: List(snapshot.checks),
		spent: Set(snapshot.spent),
	};
}
