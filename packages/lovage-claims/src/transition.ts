import {createTransition, type Transition} from '@lovagevalve/core';
import type {IsGuardEnabled} from './guards.js';
import type {ClaimsState} from './state.js';
import type {
	ClaimAnswer,
	ClaimEffect,
	ClaimEvent,
	ClaimRecord,
} from './types.js';

/** Result of applying one command. */
export type ClaimsTransition = Transition<ClaimsState, ClaimEffect>;

/** The table before a command, the command and the enabled rules. */
export type CommandContext = Readonly<{
	state: ClaimsState;
	event: ClaimEvent;
	isGuardEnabled: IsGuardEnabled;
}>;

/** Returns the next state together with an answer to the sender. */
export function replyWith(
	state: ClaimsState,
	claimAnswer: ClaimAnswer,
): ClaimsTransition {
	return createTransition<ClaimsState, ClaimEffect>(state, [
		{kind: 'answer', answer: claimAnswer},
	]);
}

/** Converts the state of a record to an answer. */
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
