import type {
	RolloutReadOutcome,
	RolloutRequestOutcome,
} from '@lovagevalve/coordinator';
import type {Result} from 'neverthrow';
import {stepSearch, type SearchState} from './leader-search.js';

/**
 * Time for an attempt, in milliseconds: a control instance waits up to 0.9 s for a
 * majority. Two instances that hang leave time for the other three within `ack-ms`.
 */
const ATTEMPT_MS = 1000;

/** What a control instance answers to an order or a read. */
export type RolloutAnswer = RolloutRequestOutcome | RolloutReadOutcome;

/** Result of the last attempt, undefined before the first, and when it is judged. */
export type Attempt<Answer> = Readonly<{
	/** The answer, or why there is none. */
	result: Result<Answer, string> | undefined;
	now: number;
	random: number;
}>;

/** What follows an attempt. */
export type NextAttempt<Answer> =
	| Readonly<{kind: 'done'; answer: Answer}>
	| Readonly<{
			kind: 'ask';
			search: SearchState;
			address: string;
			pauseMs: number;
			timeoutMs: number;
	  }>
	| Readonly<{kind: 'give-up'; reason: string}>;

/** Whether the group confirmed what an instance answered. */
function isConfirmed(answer: RolloutAnswer): boolean {
	const kind = typeof answer === 'string' ? answer : answer.kind;
	return kind !== 'unavailable';
}

/**
 * Decides what follows an attempt. An order or read that is not confirmed, or whose
 * answer was lost, is sent to the next instance until the deadline of the search;
 * a repeated order is acknowledged again and changes nothing.
 */
export function decideNextAttempt<Answer extends RolloutAnswer>(
	search: SearchState,
	{result, now, random}: Attempt<Answer>,
): NextAttempt<Answer> {
	if (result?.isOk() && isConfirmed(result.value)) {
		return {kind: 'done', answer: result.value};
	}

	const message = result?.isErr()
		? result.error
		: 'the group did not confirm it';
	const {state, effects} = stepSearch(
		search,
		result === undefined
			? {kind: 'begin', now, random}
			: {kind: 'failed', message, now, random},
	);
	const effect = effects[0]!;
	const pauseMs = effect.kind === 'ask' ? effect.pauseMs : 0;
	const remainingMs = state.deadline - now - pauseMs;
	return effect.kind === 'give-up' || remainingMs <= 0
		? {kind: 'give-up', reason: state.lastFailure}
		: {
				kind: 'ask',
				search: state,
				address: effect.address,
				pauseMs,
				// `AbortSignal.timeout` accepts whole milliseconds only.
				timeoutMs: Math.ceil(Math.min(ATTEMPT_MS, remainingMs)),
			};
}
