import {createTransition, type Transition} from '@lovagevalve/core';
import type {IsGuarded} from './guards.js';
import type {ClaimsState} from './state.js';
import type {
	ClaimAnswer,
	ClaimEffect,
	ClaimEvent,
	ClaimRecord,
} from './types.js';

/** Result of one command. */
export type Outcome = Transition<ClaimsState, ClaimEffect>;
/** What the handling of one command needs. */
export type Context = Readonly<{
	state: ClaimsState;
	event: ClaimEvent;
	isGuarded: IsGuarded;
}>;

/** Leaves the table in `state` and answers the sender. */
export function answer(state: ClaimsState, claimAnswer: ClaimAnswer): Outcome {
	return createTransition<ClaimsState, ClaimEffect>(state, [
		{kind: 'answer', answer: claimAnswer},
	]);
}

/** Answers with the state of a record. */
export function describeRecord(record: ClaimRecord): ClaimAnswer {
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
