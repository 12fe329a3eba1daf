import {createTransition} from '@lovagevalve/core';
import {failGeneration} from './recovery.js';
import {stepAttempt} from './attempt.js';
import type {GenerationState, GenerationTransition} from './state.js';
import type {GenerationEffect, GenerationEvent} from './types.js';

/** Applies one event to a generation; ignores late and unrelated events. Pure. */
export function stepGeneration(
	state: GenerationState,
	event: GenerationEvent,
): GenerationTransition {
	const {phase} = state;
	switch (phase.kind) {
		case 'ended': {
			return createTransition(state);
		}

		case 'placing': {
			return handlePlacingEvent(state, event);
		}

		case 'streaming':
		case 'probing': {
			return event.kind === 'placed' || event.kind === 'placement-refused'
				? createTransition(state)
				: stepAttempt(state, phase, event);
		}
	}
}

function handlePlacingEvent(
	state: GenerationState,
	event: GenerationEvent,
): GenerationTransition {
	switch (event.kind) {
		case 'placed': {
			return startAttempt(state, event.backend, event.now);
		}

		case 'placement-refused': {
			return failGeneration(state, event.reason);
		}

		case 'caller-left': {
			return failGeneration(state, 'caller-left');
		}

		case 'taken-over': {
			return createTransition({
				...state,
				phase: {kind: 'ended', outcome: 'taken-over'},
			});
		}

		case 'caller-blocked':
		case 'caller-ready': {
			return createTransition({
				...state,
				blocked: event.kind === 'caller-blocked',
			});
		}

		case 'connected':
		case 'chunk-received':
		case 'end-received':
		case 'connection-lost':
		case 'backend-refused':
		case 'probe-answered':
		case 'probe-failed':
		case 'backend-lost':
		case 'ticked': {
			return createTransition(state);
		}
	}
}

function startAttempt(
	state: GenerationState,
	backend: string,
	now: number,
): GenerationTransition {
	const attempt = Math.max(state.attempt + 1, state.nextAttempt);
	const connection = state.connections + 1;
	const prefixLength = state.guards.prefixOnResume ? state.offset : 0;
	return createTransition<GenerationState, GenerationEffect>(
		{
			...state,
			isUnreached: false,
			phase: {kind: 'streaming', backend, connection, silentSince: now},
			attempt,
			connections: connection,
		},
		[{kind: 'start', backend, attempt, connection, prefixLength}],
	);
}
