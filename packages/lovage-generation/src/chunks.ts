import {createTransition} from '@lovagevalve/core';
import {handleConnectionLoss, type AttemptPhase} from './recovery.js';
import {addGap} from './gap-statistics.js';
import type {GenerationState, GenerationTransition, Phase} from './state.js';
import type {GenerationEffect, GenerationEvent} from './types.js';

type Chunk = Extract<GenerationEvent, {kind: 'chunk-received'}>;
type End = Extract<GenerationEvent, {kind: 'end-received'}>;

/** Tells whether a chunk or end arrived on the current connection. */
export function isFromCurrentConnection(
	state: GenerationState,
	phase: AttemptPhase,
	event: Chunk | End,
): boolean {
	return !state.guards.connectionCheck || event.connection === phase.connection;
}

function isMismatched(state: GenerationState, event: Chunk | End): boolean {
	const {guards} = state;
	return (
		(guards.generationCheck && event.generation !== state.id) ||
		(guards.attemptCheck && event.attempt !== state.attempt)
	);
}

/** Delivers the tokens of a chunk that the caller has not received yet. */
export function handleChunk(
	state: GenerationState,
	phase: AttemptPhase,
	chunk: Chunk,
): GenerationTransition {
	const isGap = state.guards.gapCheck && chunk.offset > state.held;
	if (isMismatched(state, chunk) || isGap) {
		return handleConnectionLoss(state, phase, chunk.now, true);
	}

	const end = chunk.offset + chunk.count;
	const position = state.guards.overlapCheck ? end : state.held + chunk.count;
	if (position <= state.held) {
		return createTransition(state);
	}

	const held = position;
	const retained = Math.max(0, Math.min(held, state.offset) - state.held);
	const delivered = Math.max(0, held - state.offset);
	const next = recordTokens(state, phase, chunk, held);
	return createTransition(next, [
		...createRetainEffects(state, retained),
		...createDeliverEffects(state, delivered, chunk.now),
	]);
}

function recordTokens(
	state: GenerationState,
	{backend}: AttemptPhase,
	{connection, now}: Chunk,
	held: number,
): GenerationState {
	const phase: Phase = {
		kind: 'streaming',
		backend,
		connection,
		silentSince: now,
	};
	if (held <= state.offset) {
		return {...state, phase, held};
	}

	const isGap = state.flowing && state.loss === undefined;
	// Lists every field, as a spread is several times as expensive per chunk.
	return {
		id: state.id,
		policy: state.policy,
		retryLimit: state.retryLimit,
		guards: state.guards,
		phase,
		attempt: state.attempt,
		nextAttempt: state.nextAttempt,
		offset: held,
		held,
		connections: state.connections,
		probes: state.probes,
		retries: state.retries,
		stalls: 0,
		pace: isGap ? addGap(state.pace, now - state.lastTokenAt) : state.pace,
		accepted: true,
		isUnreached: false,
		flowing: true,
		lastTokenAt: now,
		blocked: state.blocked,
		loss: undefined,
		excluded: state.excluded,
	};
}

function createRetainEffects(
	state: GenerationState,
	count: number,
): readonly GenerationEffect[] {
	return count > 0 ? [{kind: 'retain', offset: state.held, count}] : [];
}

function createDeliverEffects(
	state: GenerationState,
	count: number,
	now: number,
): readonly GenerationEffect[] {
	if (count === 0) {
		return [];
	}

	const {offset, loss} = state;
	const deliver: GenerationEffect = {kind: 'deliver', offset, count};
	if (loss === undefined || offset === 0) {
		return [deliver];
	}

	const waitMs = now - loss.lastTokenAt;
	const inPlace = loss.attempt === state.attempt;
	return [deliver, {kind: 'report-resume', waitMs, inPlace}];
}

/** Finishes the generation if every token was delivered. */
export function handleEnd(
	state: GenerationState,
	phase: AttemptPhase,
	end: End,
): GenerationTransition {
	const isTotalMismatched =
		state.guards.endTotalCheck && end.total !== state.offset;
	if (isMismatched(state, end) || isTotalMismatched) {
		return handleConnectionLoss(state, phase, end.now, true);
	}

	return createTransition<GenerationState, GenerationEffect>(
		{...state, phase: {kind: 'ended', outcome: 'finished'}},
		[
			{kind: 'close', connection: end.connection},
			{kind: 'finish', total: state.offset},
		],
	);
}
