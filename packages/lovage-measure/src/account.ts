import type {Job} from './engine.js';

/** What one run yields. */
export type RunResult = {
	/** Waits between two tokens of answers that went on elsewhere. */
	resumeMs: number[];
	/** Waits of answers that went on at the same engine. */
	inPlaceMs: number[];
	firstTokenMs: number[];
	/** Work of the answers themselves, in tokens. */
	usefulTokens: number;
	/** Tokens generated more than once or for nobody. */
	wastedDecode: number;
	/** Prompt and prefix tokens of extra attempts, weighed by their cost. */
	recomputedPrefill: number;
	/** Share of both that came from leaving a living engine. */
	falseDetections: number;
	falseDetectionCount: number;
	attempts: number;
	requests: number;
	neededExtra: number;
	finished: number;
	refused: Record<string, number>;
	/** Answers with a missing, repeated or foreign token, or none in time. */
	notWhole: number;
	deadlineMisses: Record<string, number>;
	enginesLostToKiller: number;
	isKillerConvicted: boolean;
	innocentsConvicted: number;
};

/** A prefilled token costs this share of a decoded one. */
export const PREFILL_COST = 0.1;

/** Creates the result of a run in which nothing happened. */
export function createResult(): RunResult {
	return {
		resumeMs: [],
		inPlaceMs: [],
		firstTokenMs: [],
		usefulTokens: 0,
		wastedDecode: 0,
		recomputedPrefill: 0,
		falseDetections: 0,
		falseDetectionCount: 0,
		attempts: 0,
		requests: 0,
		neededExtra: 0,
		finished: 0,
		refused: {},
		notWhole: 0,
		deadlineMisses: {},
		enginesLostToKiller: 0,
		isKillerConvicted: false,
		innocentsConvicted: 0,
	};
}

/** An attempt with what its engine did for it. */
export type AttemptAccount = {
	account: Job['account'];
	/** Whether the attempt before it was left while its engine lived. */
	isFalse: boolean;
};

/** Adds the work of one request's attempts to the result. */
export function addWork(
	result: RunResult,
	attempts: readonly AttemptAccount[],
	delivered: number,
): void {
	const decoded = attempts.reduce((sum, one) => sum + one.account.decoded, 0);
	const extra = attempts.slice(1);
	const prefilled = (ones: readonly AttemptAccount[]) =>
		ones.reduce((sum, one) => sum + one.account.prefilled, 0) * PREFILL_COST;
	result.usefulTokens +=
		delivered + (attempts[0]?.account.prefilled ?? 0) * PREFILL_COST;
	result.wastedDecode += decoded - delivered;
	result.recomputedPrefill += prefilled(extra);
	result.attempts += attempts.length;
	const mistaken = extra.filter(({isFalse}) => isFalse);
	if (mistaken.length > 0) {
		result.falseDetections += prefilled(mistaken) + (decoded - delivered);
		result.falseDetectionCount += mistaken.length;
	}
}
