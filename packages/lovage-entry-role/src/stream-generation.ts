import {
	stepGeneration,
	type GenerationEffect,
	type GenerationEvent,
	type GenerationTransition,
} from '@lovagevalve/generation';
import {cancelAttempt, startAttempt} from './attempts.js';
import {reportDeath} from './deaths.js';
import {
	deliverTokens,
	failStream,
	finishStream,
	releaseStreamBackend,
} from './stream-results.js';
import type {StepContext} from './step-context.js';
import {selectBackend} from './backend-selection.js';
import {enqueueStream} from './queues.js';
import type {EntryState, Stream} from './state.js';
import {createStreamRecord} from './stream-records.js';
import {
	isQuarantined,
	isPlacementHeld,
	isSuspect,
	createQuarantineKey,
} from './suspects.js';
import {chainEach, transition, type EntryTransition} from './transition.js';
import {adjustInFlight} from './view.js';

/** Stores a generation's new state and runs its effects. */
export function applyGenerationStep(
	state: EntryState,
	stream: Stream,
	step: GenerationTransition,
	context: StepContext,
): EntryTransition {
	const next = {...stream, generationState: step.state};
	return chainEach(
		{...state, streams: state.streams.set(stream.id, next)},
		step.effects,
		(current, effect) =>
			runGenerationEffect(current, stream.id, effect, context),
	);
}

/** Applies one event to the generation of a stream. */
export function stepStream(
	state: EntryState,
	id: string,
	event: GenerationEvent,
	context: StepContext,
): EntryTransition {
	const stream = state.streams.get(id);
	return stream?.generationState
		? applyGenerationStep(
				state,
				stream,
				stepGeneration(stream.generationState, event),
				context,
			)
		: transition(state);
}

function runGenerationEffect(
	state: EntryState,
	id: string,
	effect: GenerationEffect,
	context: StepContext,
): EntryTransition {
	const stream = state.streams.get(id);
	if (!stream) {
		return transition(state);
	}

	const {generation, backend} = stream;
	const address = backend?.address ?? '';
	switch (effect.kind) {
		case 'place': {
			return queueStream(state, stream, effect, context);
		}

		case 'start': {
			return startAttempt(state, stream, effect, context.now);
		}

		case 'resume': {
			const {attempt, connection, offset} = effect;
			return transition(state, [
				{
					kind: 'resume-attempt',
					stream: id,
					address,
					backend: effect.backend,
					generation,
					attempt,
					connection,
					offset,
				},
			]);
		}

		case 'close': {
			const {connection} = effect;
			return transition(state, [
				{kind: 'close-connection', stream: id, connection},
			]);
		}

		case 'probe': {
			const {attempt, probe} = effect;
			return transition(state, [
				{
					kind: 'probe-attempt',
					stream: id,
					address,
					generation,
					attempt,
					probe,
				},
			]);
		}

		case 'cancel': {
			return cancelAttempt(state, stream, effect.attempt);
		}

		case 'deliver': {
			return deliverTokens(state, stream, effect, context.now);
		}

		case 'retain': {
			const {offset, count} = effect;
			return transition(state, [
				{kind: 'retain-tokens', stream: id, offset, count},
			]);
		}

		case 'report-death': {
			return handleBackendDeath(state, stream, effect, context.now);
		}

		case 'report-resume': {
			const {waitMs, inPlace} = effect;
			const cause = classifyResume(stream, inPlace);
			return transition(state, [
				createStreamRecord(stream, {kind: 'resumed', waitMs, cause}),
			]);
		}

		case 'finish': {
			return finishStream(state, stream, effect.total);
		}

		case 'fail': {
			return failStream(state, stream, effect.reason);
		}
	}
}

/**
 * Reports the death of a stream's backend server. A server that stalls but
 * answers probes is alive, and one that no longer holds an adopted attempt may
 * have released it; neither is reported.
 */
function handleBackendDeath(
	state: EntryState,
	stream: Stream,
	{cause}: Extract<GenerationEffect, {kind: 'report-death'}>,
	now: number,
): EntryTransition {
	return cause === 'stalled' || (cause === 'not-held' && stream.isAdopted)
		? transition(state)
		: reportDeath(state, stream, now);
}

function classifyResume(stream: Stream, isInPlace: boolean) {
	if (stream.isAdopted) {
		return 'entry-lost';
	}

	return isInPlace ? 'connection-lost' : 'backend-server-lost';
}

function queueStream(
	state: EntryState,
	stream: Stream,
	effect: Extract<GenerationEffect, {kind: 'place'}>,
	context: StepContext,
): EntryTransition {
	const {excluded, resumed: isResumed} = effect;
	const released = releaseStreamBackend(state, stream);
	const queued: Stream = {
		...stream,
		backend: undefined,
		phase: {kind: 'queued', isResumed, excluded},
	};
	const next = {
		...released,
		streams: released.streams.set(stream.id, queued),
	};
	if (isQuarantined(state, stream.customer, stream.input.digest)) {
		const {now} = context;
		const reason = 'quarantined';
		return stepStream(
			next,
			stream.id,
			{kind: 'placement-refused', reason, now},
			context,
		);
	}

	return enqueueStream(next, queued, context);
}

/** Starts a queued stream on a backend server if one has a free slot. */
export function placeStream(
	state: EntryState,
	stream: Stream,
	context: StepContext,
): EntryTransition {
	if (
		stream.phase.kind !== 'queued' ||
		isPlacementHeld(state, stream, context.now)
	) {
		return transition(state);
	}

	const {input, customer, phase, model} = stream;
	const {service, prefixes, digest} = input;
	const {excluded} = phase;
	const suspect = isSuspect(state, customer, digest)
		? createQuarantineKey(customer, digest)
		: undefined;
	const chosen = selectBackend(
		state,
		{service, model, prefixes, excluded, suspect},
		context,
	);
	if (!chosen) {
		return transition(state);
	}

	const {id: backend, address, incarnation} = chosen.announcement;
	const running: Stream = {
		...stream,
		phase: {kind: 'running'},
		backend: {id: backend, address, incarnation},
	};
	const next: EntryState = {
		...state,
		view: adjustInFlight(state.view, backend, 1),
		streams: state.streams.set(stream.id, running),
	};
	const {now} = context;
	return stepStream(next, stream.id, {kind: 'placed', backend, now}, context);
}
