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
	neededExtraAttempts: number;
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
export const PREFILL_COST_RATIO = 0.1;

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
		neededExtraAttempts: 0,
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
export type AttemptWork = {
	work: Job['work'];
	/** Whether the attempt before it was left while its engine lived. */
	followsFalseDetection: boolean;
};

/** Adds the work of one request's attempts to the result. */
export function addWork(
	result: RunResult,
	attempts: readonly AttemptWork[],
	delivered: number,
): void {
	const decoded = attempts.reduce(
		(sum, attempt) => sum + attempt.work.decoded,
		0,
	);
	const extra = attempts.slice(1);
	const prefilled = (selected: readonly AttemptWork[]) =>
		selected.reduce((sum, attempt) => sum + attempt.work.prefilled, 0) *
		PREFILL_COST_RATIO;
	result.usefulTokens +=
		delivered + (attempts[0]?.work.prefilled ?? 0) * PREFILL_COST_RATIO;
	result.wastedDecode += decoded - delivered;
	result.recomputedPrefill += prefilled(extra);
	result.attempts += attempts.length;
	const falseAttempts = extra.filter(
		({followsFalseDetection}) => followsFalseDetection,
	);
	if (falseAttempts.length > 0) {
		result.falseDetections += prefilled(falseAttempts) + (decoded - delivered);
		result.falseDetectionCount += falseAttempts.length;
	}
}
