import type {RecentPrompts, StartRequest, StartState} from './start-types.js';

/**
 * Time for which the kind with the highest priority keeps room for its next request, in
 * milliseconds: several times the longest usual pause between two.
 */
const URGENT_RETENTION_MS = 30_000;
/** Half-life of the prompts that came lately: some times the duration of a usual stream. */
const RECENT_HALF_LIFE_MS = 10_000;

/** Part of the prompt tokens that must be less urgent than a request that overtakes. */
const OVERTAKEN_SHARE = 0.5;

/** Adds the prompt of a request to those that came lately. */
function recordPrompt(
	{tokens, atMs}: RecentPrompts,
	{
		priority,
		promptTokens,
		arrivedAt,
	}: Pick<StartRequest, 'priority' | 'promptTokens' | 'arrivedAt'>,
): RecentPrompts {
	const kept = 0.5 ** (Math.max(0, arrivedAt - atMs) / RECENT_HALF_LIFE_MS);
	const recent = Array.from(
		{length: Math.max(tokens.length, priority + 1)},
		(_, i) => (tokens[i] ?? 0) * kept + (i === priority ? promptTokens : 0),
	);
	const sum = (counts: readonly number[]): number =>
		counts.reduce((total, count) => total + count, 0);
	const limit = sum(recent) * OVERTAKEN_SHARE;
	return {
		tokens: recent,
		atMs: Math.max(arrivedAt, atMs),
		overtakingPriority: recent.findLastIndex(
			(_, i) => sum(recent.slice(i + 1)) > limit,
		),
	};
}

/** Records the arrival of a request, which may be of the most urgent kind. */
export function recordArrival(
	before: StartState,
	request: Pick<
		StartRequest,
		'priority' | 'promptTokens' | 'memoryTokens' | 'arrivedAt' | 'targetAt'
	>,
): StartState {
	const {priority, promptTokens, memoryTokens, arrivedAt, targetAt} = request;
	const state = {...before, recent: recordPrompt(before.recent, request)};
	const {urgent} = state;
	const known = urgent?.priority === priority ? urgent : undefined;
	const isMostUrgent =
		urgent === undefined ||
		priority <= urgent.priority ||
		arrivedAt - urgent.seenAt > URGENT_RETENTION_MS;
	if (urgent !== undefined && priority > urgent.priority && !isMostUrgent) {
		return {...state, urgent: {...urgent, isAlone: false}};
	}

	return isMostUrgent
		? {
				...state,
				urgent: {
					priority,
					promptTokens: Math.max(promptTokens, known?.promptTokens ?? 0),
					memoryTokens: Math.max(memoryTokens, known?.memoryTokens ?? 0),
					latencyTargetMs: targetAt - arrivedAt,
					seenAt: arrivedAt,
					isAlone: known?.isAlone ?? urgent === undefined,
				},
			}
		: state;
}
