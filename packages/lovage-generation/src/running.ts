import {createTransition} from '@lovagevalve/core';
import {
	abandonAttempt,
	closeConnection,
	continueElsewhere,
	failGeneration,
	loseConnection,
	placeAgain,
	probeBackend,
	resumeInPlace,
	type RunningPhase,
} from './loss.js';
import {getAllowedSilence} from './pace.js';
import type {GenerationState, GenerationTransition} from './state.js';
import {isCurrent, receiveChunk, receiveEnd} from './stitch.js';
import type {GenerationEvent} from './types.js';

/** Events that matter while an attempt is under way. */
export type RunningEvent = Exclude<
	GenerationEvent,
	{kind: 'placed' | 'placement-refused'}
>;
type CallerEvent = Extract<
	GenerationEvent,
	{kind: 'caller-left' | 'taken-over' | 'caller-blocked' | 'caller-ready'}
>;

/** Applies one event to a generation with an attempt under way. */
export function stepRunning(
	state: GenerationState,
	phase: RunningPhase,
	event: RunningEvent,
): GenerationTransition {
	return isAwaited(state, phase, event)
		? stepAwaited(state, phase, event)
		: createTransition(state);
}

/** Tells whether an event concerns what this generation waits for now. */
function isAwaited(
	state: GenerationState,
	phase: RunningPhase,
	event: RunningEvent,
): boolean {
	switch (event.kind) {
		case 'chunk-received':
		case 'end-received': {
			return isCurrent(state, phase, event);
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

function stepAwaited(
	state: GenerationState,
	phase: RunningPhase,
	event: RunningEvent,
): GenerationTransition {
	switch (event.kind) {
		case 'connected': {
			return acceptAttempt(state, event.now);
		}

		case 'chunk-received': {
			return receiveChunk(state, phase, event);
		}

		case 'end-received': {
			return receiveEnd(state, phase, event);
		}

		case 'connection-lost': {
			const isUnreached = event.isUnreached === true && !state.accepted;
			return loseConnection({...state, isUnreached}, phase, event.now, false);
		}

		case 'backend-refused': {
			return receiveRefusal(state, phase, event.transient);
		}

		case 'probe-answered': {
			return event.held
				? resumeInPlace(state, phase, event.now)
				: continueElsewhere(state, phase, 'not-held');
		}

		case 'probe-failed': {
			return failProbe(state, phase, event.now);
		}

		case 'backend-lost': {
			return probeBackend(state, phase, event.now);
		}

		case 'ticked': {
			return checkTimes(state, phase, event.now);
		}

		case 'caller-left':
		case 'taken-over':
		case 'caller-blocked':
		case 'caller-ready': {
			return stepCaller(state, phase, event);
		}
	}
}

function stepCaller(
	state: GenerationState,
	phase: RunningPhase,
	event: CallerEvent,
): GenerationTransition {
	switch (event.kind) {
		case 'caller-left': {
			return failGeneration(state, 'caller-left', abandonAttempt(state, phase));
		}

		case 'taken-over': {
			return releaseGeneration(state, phase);
		}

		case 'caller-blocked': {
			return createTransition({...state, blocked: true});
		}

		case 'caller-ready': {
			return unblock(state, event.now);
		}
	}
}

function acceptAttempt(
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

function receiveRefusal(
	state: GenerationState,
	phase: RunningPhase,
	transient: boolean,
): GenerationTransition {
	const effects = abandonAttempt(state, phase);
	return transient
		? placeAgain(state, phase.backend, effects)
		: failGeneration(state, 'backend-refused', effects);
}

function failProbe(
	state: GenerationState,
	phase: RunningPhase,
	now: number,
): GenerationTransition {
	const sent = phase.kind === 'probing' ? phase.probesSent : 0;
	return sent < state.policy.probes
		? probeBackend(state, phase, now)
		: continueElsewhere(state, phase, 'unreachable');
}

function releaseGeneration(
	state: GenerationState,
	phase: RunningPhase,
): GenerationTransition {
	return createTransition(
		{...state, phase: {kind: 'ended', outcome: 'taken-over'}},
		closeConnection(phase),
	);
}

function unblock(state: GenerationState, now: number): GenerationTransition {
	const {phase} = state;
	return createTransition({
		...state,
		blocked: false,
		lastTokenAt: now,
		phase: phase.kind === 'streaming' ? {...phase, silentSince: now} : phase,
	});
}

function checkTimes(
	state: GenerationState,
	phase: RunningPhase,
	now: number,
): GenerationTransition {
	const deadline = getNextDeadline(state);
	if (deadline === undefined || now < deadline) {
		return createTransition(state);
	}

	return phase.kind === 'probing'
		? failProbe(state, phase, now)
		: probeBackend(state, phase, now);
}

/** Returns when the next `ticked` may change something, if ever. */
export function getNextDeadline(state: GenerationState): number | undefined {
	const {phase, policy} = state;
	if (phase.kind === 'probing') {
		return phase.sentAt + policy.probeTimeoutMs;
	}

	if (phase.kind !== 'streaming' || state.blocked) {
		return undefined;
	}

	return phase.silentSince + getAllowedMs(state) * 2 ** state.stalls;
}

function getAllowedMs({
	accepted,
	flowing,
	pace,
	policy,
}: GenerationState): number {
	if (flowing) {
		return getAllowedSilence(pace, policy);
	}

	return accepted ? policy.firstTokenMs : policy.acceptMs;
}
