import {createTransition} from '@lovagevalve/core';
import {
	createAbandonEffects,
	createCloseEffects,
	failOver,
	failGeneration,
	handleConnectionLoss,
	retryPlacement,
	probeBackend,
	resumeInPlace,
	type AttemptPhase,
} from './recovery.js';
import {getMaxNormalSilenceMs} from './gap-statistics.js';
import type {GenerationState, GenerationTransition} from './state.js';
import {isFromCurrentConnection, handleChunk, handleEnd} from './chunks.js';
import type {GenerationEvent} from './types.js';

/** Events that are handled while an attempt is running. */
export type AttemptEvent = Exclude<
	GenerationEvent,
	{kind: 'placed' | 'placement-refused'}
>;
type CallerEvent = Extract<
	GenerationEvent,
	{kind: 'caller-left' | 'taken-over' | 'caller-blocked' | 'caller-ready'}
>;

/** Applies one event to a generation with a running attempt. */
export function stepAttempt(
	state: GenerationState,
	phase: AttemptPhase,
	event: AttemptEvent,
): GenerationTransition {
	return isAwaited(state, phase, event)
		? handleAttemptEvent(state, phase, event)
		: createTransition(state);
}

/** Tells whether an event belongs to the current connection, probe or backend server. */
function isAwaited(
	state: GenerationState,
	phase: AttemptPhase,
	event: AttemptEvent,
): boolean {
	switch (event.kind) {
		case 'chunk-received':
		case 'end-received': {
			return isFromCurrentConnection(state, phase, event);
		}

		case 'connected':
		case 'connection-lost':
		case 'backend-refused': {
			return event.connection === phase.connection;
		}

		case 'probe-answered':
		case 'probe-failed': {
			return phase.kind === 'probing' && event.probe === phase.probe;
		}

		case 'backend-lost': {
			return phase.kind === 'streaming' && event.backend === phase.backend;
		}

		case 'caller-left':
		case 'taken-over':
		case 'caller-blocked':
		case 'caller-ready':
		case 'ticked': {
			return true;
		}
	}
}

function handleAttemptEvent(
	state: GenerationState,
	phase: AttemptPhase,
	event: AttemptEvent,
): GenerationTransition {
	switch (event.kind) {
		case 'connected': {
			return handleConnected(state, event.now);
		}

		case 'chunk-received': {
			return handleChunk(state, phase, event);
		}

		case 'end-received': {
			return handleEnd(state, phase, event);
		}

		case 'connection-lost': {
			const isUnreached = event.isUnreached === true && !state.accepted;
			return handleConnectionLoss(
				{...state, isUnreached},
				phase,
				event.now,
				false,
			);
		}

		case 'backend-refused': {
			return handleRefusal(state, phase, event.transient);
		}

		case 'probe-answered': {
			return event.held
				? resumeInPlace(state, phase, event.now)
				: failOver(state, phase, 'not-held');
		}

		case 'probe-failed': {
			return handleProbeFailure(state, phase, event.now);
		}

		case 'backend-lost': {
			return probeBackend(state, phase, event.now);
		}

		case 'ticked': {
			return handleTick(state, phase, event.now);
		}

		case 'caller-left':
		case 'taken-over':
		case 'caller-blocked':
		case 'caller-ready': {
			return handleCallerEvent(state, phase, event);
		}
	}
}

function handleCallerEvent(
	state: GenerationState,
	phase: AttemptPhase,
	event: CallerEvent,
): GenerationTransition {
	switch (event.kind) {
		case 'caller-left': {
			return failGeneration(
				state,
				'caller-left',
				createAbandonEffects(state, phase),
			);
		}

		case 'taken-over': {
			return releaseGeneration(state, phase);
		}

		case 'caller-blocked': {
			return createTransition({...state, blocked: true});
		}

		case 'caller-ready': {
			return handleCallerReady(state, event.now);
		}
	}
}

function handleConnected(
	state: GenerationState,
	now: number,
): GenerationTransition {
	const {phase} = state;
	return createTransition({
		...state,
		accepted: true,
		phase: phase.kind === 'streaming' ? {...phase, silentSince: now} : phase,
	});
}

function handleRefusal(
	state: GenerationState,
	phase: AttemptPhase,
	transient: boolean,
): GenerationTransition {
	const effects = createAbandonEffects(state, phase);
	return transient
		? retryPlacement(state, phase.backend, effects)
		: failGeneration(state, 'backend-refused', effects);
}

function handleProbeFailure(
	state: GenerationState,
	phase: AttemptPhase,
	now: number,
): GenerationTransition {
	const sent = phase.kind === 'probing' ? phase.probesSent : 0;
	return sent < state.policy.probes
		? probeBackend(state, phase, now)
		: failOver(state, phase, 'unreachable');
}

function releaseGeneration(
	state: GenerationState,
	phase: AttemptPhase,
): GenerationTransition {
	return createTransition(
		{...state, phase: {kind: 'ended', outcome: 'taken-over'}},
		createCloseEffects(phase),
	);
}

function handleCallerReady(
	state: GenerationState,
	now: number,
): GenerationTransition {
	const {phase} = state;
	return createTransition({
		...state,
		blocked: false,
		lastTokenAt: now,
		phase: phase.kind === 'streaming' ? {...phase, silentSince: now} : phase,
	});
}

function handleTick(
	state: GenerationState,
	phase: AttemptPhase,
	now: number,
): GenerationTransition {
	const deadline = getNextDeadline(state);
	if (deadline === undefined || now < deadline) {
		return createTransition(state);
	}

	return phase.kind === 'probing'
		? handleProbeFailure(state, phase, now)
		: probeBackend(state, phase, now);
}

/** Returns the time at which the next `ticked` event is due, if any. */
export function getNextDeadline(state: GenerationState): number | undefined {
	const {phase, policy} = state;
	if (phase.kind === 'probing') {
		return phase.sentAt + policy.probeTimeoutMs;
	}

	if (phase.kind !== 'streaming' || state.blocked) {
		return undefined;
	}

	// Exponential backoff: the limit doubles with each resume without a new token.
	return phase.silentSince + getSilenceLimitMs(state) * 2 ** state.stalls;
}

function getSilenceLimitMs({
	accepted,
	flowing,
	pace,
	policy,
}: GenerationState): number {
	if (flowing) {
		return getMaxNormalSilenceMs(pace, policy);
	}

	return accepted ? policy.firstTokenMs : policy.acceptMs;
}
