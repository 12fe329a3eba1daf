import {createTransition, type Transition} from '@lovagevalve/core';
import type {IsGuardEnabled} from './guards.js';
import type {ClaimsState} from './state.js';
import type {
	ClaimAnswer,
	ClaimEffect,
	ClaimEvent,
	ClaimRecord,
} from './types.js';

/** Result of one command. */
export type ClaimsTransition = Transition<ClaimsState, ClaimEffect>;
/** What the handling of one command needs. */
export type CommandContext = Readonly<{
	state: ClaimsState;
	event: ClaimEvent;
	isGuardEnabled: IsGuardEnabled;
}>;

/** Leaves the table in `state` and answers the sender. */
export function replyWith(
	state: ClaimsState,
	claimAnswer: ClaimAnswer,
): ClaimsTransition {
	return createTransition<ClaimsState, ClaimEffect>(state, [
		{kind: 'answer', answer: claimAnswer},
	]);
}

/** Answers with the state of a record. */
export function createAnswer(record: ClaimRecord): ClaimAnswer {
	switch (record.state.kind) {
		case 'granted': {
			return {kind: 'in-progress'};
		}

		case 'not-run': {
			return {kind: 'not-run', attempt: record.attempt};
		}

		case 'done':
		case 'unknown': {
			return record.state;
		}
	}
}
