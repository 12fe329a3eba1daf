import {createTransition} from '@lovagevalve/core';
import {NO_GAP_STATISTICS} from './gap-statistics.js';
import type {GenerationState, GenerationTransition, Phase} from './state.js';
import type {DeathCause, FailureReason, GenerationEffect} from './types.js';

/** Maximum number of backend servers to avoid; bounds the state and the effects. */
const MAX_EXCLUDED = 8;

/** Phase in which the backend server is being probed. */
export type ProbingPhase = Extract<Phase, {kind: 'probing'}>;
type StreamingPhase = Extract<Phase, {kind: 'streaming'}>;

/** Phases with a running attempt; `connection` is absent once it is lost. */
export type AttemptPhase =
	ProbingPhase | (Omit<StreamingPhase, 'connection'> & {connection?: number});

/** Ends a generation before its answer is complete. */
export function failGeneration(
	state: GenerationState,
	reason: FailureReason,
	before: readonly GenerationEffect[] = [],
): GenerationTransition {
	return createTransition<GenerationState, GenerationEffect>(
		{...state, phase: {kind: 'ended', outcome: reason}},
		[...before, {kind: 'fail', reason}],
	);
}

/** Creates the effects that close the connection and cancel the current attempt. */
export function createAbandonEffects(
	state: GenerationState,
	phase: AttemptPhase,
): readonly GenerationEffect[] {
	const {backend} = phase;
	const cancel: readonly GenerationEffect[] = state.guards.cancelOld
		? [{kind: 'cancel', backend, attempt: state.attempt}]
		: [];
	return [...createCloseEffects(phase), ...cancel];
}

/** Creates the effect that closes the connection, unless it is already lost. */
export function createCloseEffects(
	phase: AttemptPhase,
): readonly GenerationEffect[] {
	return phase.connection === undefined
		? []
		: [{kind: 'close', connection: phase.connection}];
}

/** Probes the backend server: does it still have the attempt? */
export function probeBackend(
	state: GenerationState,
	phase: AttemptPhase,
	now: number,
): GenerationTransition {
	if (!state.guards.probeBeforeDeath) {
		return failOver(state, phase, 'unreachable');
	}

	const {backend, connection} = phase;
	const probe = state.probes + 1;
	const probesSent = phase.kind === 'probing' ? phase.probesSent + 1 : 1;
	return createTransition<GenerationState, GenerationEffect>(
		{
			...state,
			phase: {
				kind: 'probing',
				backend,
				connection,
				probe,
				probesSent,
				sentAt: now,
			},
			probes: probe,
		},
		[{kind: 'probe', backend, attempt: state.attempt, probe}],
	);
}

/** Handles a lost connection, or closes one (`isOpen`) that sent invalid data. */
export function handleConnectionLoss(
	state: GenerationState,
	phase: AttemptPhase,
	now: number,
	isOpen: boolean,
): GenerationTransition {
	const effects = isOpen ? createCloseEffects(phase) : [];
	const next = recordLoss(state);
	if (phase.kind === 'probing') {
		const lost: Phase = {...phase, connection: undefined};
		return createTransition({...next, phase: lost}, effects);
	}

	const probed = probeBackend(next, {...phase, connection: undefined}, now);
	return createTransition(probed.state, [...effects, ...probed.effects]);
}

function recordLoss(state: GenerationState): GenerationState {
	const {attempt, lastTokenAt} = state;
	return {...state, loss: state.loss ?? {attempt, lastTokenAt}};
}

/** Reconnects to the running attempt; fails over if that has not helped before. */
export function resumeInPlace(
	state: GenerationState,
	phase: AttemptPhase,
	now: number,
): GenerationTransition {
	if (state.stalls >= state.policy.stalledResumes) {
		return failOver(state, phase, 'stalled');
	}

	const {backend} = phase;
	const connection = state.connections + 1;
	const {attempt, held: offset} = state;
	return createTransition<GenerationState, GenerationEffect>(
		{
			...recordLoss(state),
			phase: {kind: 'streaming', backend, connection, silentSince: now},
			connections: connection,
			stalls: state.stalls + 1,
		},
		[
			...createCloseEffects(phase),
			{kind: 'resume', backend, attempt, connection, offset},
		],
	);
}

/** Abandons the attempt and retries on another backend server. */
export function failOver(
	state: GenerationState,
	phase: AttemptPhase,
	cause: DeathCause,
): GenerationTransition {
	const {backend} = phase;
	const {attempt} = state;
	return retryPlacement(recordLoss(state), backend, [
		...createAbandonEffects(state, phase),
		{kind: 'report-death', backend, attempt, cause, ran: state.accepted},
	]);
}

/** Requests a new placement, unless the retry limit or a missing prefix forbids it. */
export function retryPlacement(
	state: GenerationState,
	backend: string,
	before: readonly GenerationEffect[],
): GenerationTransition {
	if (state.retries >= state.retryLimit) {
		return failGeneration(state, 'retry-budget-spent', before);
	}

	if (state.guards.prefixRequired && state.held < state.offset) {
		return failGeneration(state, 'prefix-missing', before);
	}

	const excluded = [
		...state.excluded.filter((other) => other !== backend),
		backend,
	].slice(-MAX_EXCLUDED);
	return createTransition<GenerationState, GenerationEffect>(
		{
			...state,
			phase: {kind: 'placing'},
			retries: state.retries + 1,
			stalls: 0,
			pace: NO_GAP_STATISTICS,
			accepted: false,
			flowing: false,
			excluded,
		},
		[...before, {kind: 'place', excluded, resumed: state.offset > 0}],
	);
}
