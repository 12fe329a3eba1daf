import type {Job} from './engine.js';

/** Figures of one simulation run. */
export type RunResult = {
	/** Waits between two tokens when an answer resumed at another engine. */
	resumeMs: number[];
	/** Waits between two tokens when an answer resumed at the same engine. */
	inPlaceMs: number[];
	firstTokenMs: number[];
	/**
	 * Work of the delivered answers, in decoded tokens; prompts are weighted by
	 * cost.
	 */
	usefulTokens: number;
	/** Tokens that were generated more than once or never delivered. */
	wastedDecode: number;
	/** Prompt and prefix tokens of extra attempts, weighted by prefill cost. */
	recomputedPrefill: number;
	/**
	 * Part of the wasted and recomputed work that followed from leaving a live
	 * engine.
	 */
	falseDetections: number;
	falseDetectionCount: number;
	attempts: number;
	requests: number;
	/**
	 * Reported deaths of attempts that were really lost; each needs one more
	 * attempt.
	 */
	neededExtraAttempts: number;
	finished: number;
	/** Requests that ended without a complete answer, by reason. */
	refused: Record<string, number>;
	/**
	 * Answers with missing, repeated or foreign tokens, or incomplete when the
	 * run ended.
	 */
	notWhole: number;
	/** Missed deadlines, by customer. */
	deadlineMisses: Record<string, number>;
	enginesLostToKiller: number;
	isKillerConvicted: boolean;
	innocentsConvicted: number;
};

/** Cost of prefilling a token relative to decoding one. */
export const PREFILL_COST_RATIO = 0.1;

/** Creates an empty result. */
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

/** The work that an engine did for one attempt. */
export type AttemptWork = {
	work: Job['work'];
	/** Whether the previous attempt was abandoned while its engine was alive. */
	followsFalseDetection: boolean;
};

/** Adds the work of all attempts of one request to the result. */
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
