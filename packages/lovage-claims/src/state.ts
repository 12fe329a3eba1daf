import {List, Map, Set} from 'immutable';
import type {ClaimLimits, ClaimRecord} from './types.js';

/** Time at which the record of a request is checked for eviction. */
export type RetentionCheck = Readonly<{key: string; checkAt: number}>;

/** The replicated table of claims. */
export type ClaimsState = Readonly<{
	limits: ClaimLimits;
	records: Map<string, ClaimRecord>;
	/** Maps claims that are granted, and neither settled nor lapsed, to request keys. */
	open: Map<string, string>;
	checks: List<RetentionCheck>;
	/** Digests of evicted opaque request ids. */
	spent: Set<string>;
	/** Request ids with an earlier time, in milliseconds, are refused. */
	horizon: number;
	nextClaim: number;
	answerBytes: number;
}>;

/** Serialised form of the claims table in a snapshot. */
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

/** Creates an empty claims table. */
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

/** Converts the claims table to plain data for a snapshot. */
export function encodeClaims(state: ClaimsState): ClaimsSnapshot {
	return {
		...state,
		records: [...state.records.entries()],
		open: [...state.open.entries()],
		checks: [...state.checks],
		spent: [...state.spent],
	};
}

/** Restores the claims table from the plain data of a snapshot. */
export function decodeClaims(snapshot: ClaimsSnapshot): ClaimsState {
	return {
		...snapshot,
		records: Map(snapshot.records),
		open: Map(snapshot.open),
		checks: List(snapshot.checks),
		spent: Set(snapshot.spent),
	};
}
