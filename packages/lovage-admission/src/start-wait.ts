import {estimateWait} from './pace.js';
import {isLate, readPromptMs} from './start-order.js';
import {countUnits} from './start-room.js';
import type {StartInput, StartRequest} from './start-types.js';

/** Part of a caller's remaining time that it spends on a wait at most. */
const MAX_RETRY_SHARE = 1 / 3;
/** Shortest `Retry-After`, in milliseconds: an entry learns of free room with a report. */
const MIN_RETRY_AFTER_MS = 200;
/** Bounds of the random factor that spreads retries of requests refused together. */
const RETRY_SPREAD = [0.75, 1.25] as const;
/**
 * Part of the usual time of a request that must be left before its deadline: shorter
 * outputs than usual are not given up.
 */
const MIN_HOLD_SHARE = 0.5;

/**
 * Prompt tokens that the engines start in a millisecond: the lower of what they process
 * and of what their slots and memory let in; undefined if neither is known.
 */
export function computeThroughput(input: StartInput): number | undefined {
	const {engines, waiting, holdMs} = input;
	const speeds = engines.map(
		({tokensPerMs}) => tokensPerMs ?? input.tokensPerMs,
	);
	const processed = speeds.includes(undefined)
		? undefined
		: speeds.reduce<number>((sum, speed) => sum + speed!, 0);
	const count = Math.max(1, waiting.length);
	const promptTokens =
		waiting.reduce((sum, request) => sum + request.promptTokens, 0) / count;
	const needTokens =
		waiting.reduce((sum, request) => sum + request.memoryTokens, 0) / count;
	const admitted =
		holdMs === undefined || holdMs <= 0
			? undefined
			: (engines.reduce(
					(sum, engine) => sum + countUnits(engine, needTokens),
					0,
				) *
					promptTokens) /
				holdMs;
	return processed === undefined || admitted === undefined
		? (processed ?? admitted)
		: Math.min(processed, admitted);
}

/** Prompt tokens that wait at other entries with the same or a higher priority. */
export function sumOthers(
	othersWaiting: readonly number[],
	priority: number,
): number {
	return othersWaiting
		.slice(0, priority + 1)
		.reduce((sum, tokens) => sum + tokens, 0);
}

/** Estimates the wait behind some prompt tokens; undefined if no speed is known. */
export function estimateWaitMs(
	throughput: number | undefined,
	tokens: number,
): number | undefined {
	return throughput === undefined || throughput <= 0
		? undefined
		: estimateWait({intervalMs: 1 / throughput}, tokens);
}

/** Whether a new request that can't start now is refused instead of waiting. */
export function findRefusal(
	request: StartRequest,
	waitMs: number | undefined,
	input: StartInput,
): 'cannot-be-on-time' | 'deadline-unmeetable' | undefined {
	const beginAt = input.now + (waitMs ?? 0) + readPromptMs(request, input);
	if (isLate(request, input)) {
		const restMs = (input.holdMs ?? 0) * MIN_HOLD_SHARE;
		return beginAt + restMs > request.deadlineAt
			? 'deadline-unmeetable'
			: undefined;
	}

	return beginAt > request.targetAt ? 'cannot-be-on-time' : undefined;
}

/** Time after which a refused caller may come again, in milliseconds. */
export function computeRetryAfterMs(
	request: StartRequest,
	drainMs: number | undefined,
	input: StartInput,
	random: number,
): number {
	const [low, high] = RETRY_SPREAD;
	const maxMs = Math.max(0, request.deadlineAt - input.now) * MAX_RETRY_SHARE;
	const wantedMs = Math.max(MIN_RETRY_AFTER_MS, drainMs ?? 0);
	return Math.min(maxMs / high, wantedMs) * (low + random * (high - low));
}
