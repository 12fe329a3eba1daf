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
	releaseBackend,
} from './endings.js';
import type {Moment} from './moment.js';
import {choosePlace} from './place.js';
import {enqueueStream} from './queues.js';
import type {EntryState, Stream} from './state.js';
import {recordStream} from './stream-facts.js';
import {isConvicted, isHeld, isSuspect, strikeDigest} from './suspects.js';
import {chainEach, transition, type EntryTransition} from './transition.js';
import {countInFlight} from './view.js';

/** Takes over a generation's new state and carries its effects out. */
export function runMachine(
	state: EntryState,
	stream: Stream,
	step: GenerationTransition,
	moment: Moment,
): EntryTransition {
	const next = {...stream, machine: step.state};
	return chainEach(
		{...state, streams: state.streams.set(stream.id, next)},
		step.effects,
		(current, effect) => runEffect(current, stream.id, effect, moment),
	);
}

/** Applies one event to the generation of a stream. */
export function stepStream(
	state: EntryState,
	id: string,
	event: GenerationEvent,
	moment: Moment,
): EntryTransition {
	const stream = state.streams.get(id);
	return stream?.machine
		? runMachine(state, stream, stepGeneration(stream.machine, event), moment)
		: transition(state);
}

function runEffect(
	state: EntryState,
	id: string,
	effect: GenerationEffect,
	moment: Moment,
): EntryTransition {
	const stream = state.streams.get(id);
	if (!stream) {
		return transition(state);
	}

	const {generation, backend} = stream;
	const address = backend?.address ?? '';
	switch (effect.kind) {
		case 'place': {
			return queueStream(state, stream, effect, moment);
		}

		case 'start': {
			return startAttempt(state, stream, effect, moment.now);
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
			return deliverTokens(state, stream, effect, moment.now);
		}

		case 'retain': {
			const {offset, count} = effect;
			return transition(state, [
				{kind: 'retain-tokens', stream: id, offset, count},
			]);
		}

		case 'report-death': {
			return takeDeath(state, stream, effect, moment.now);
		}

		case 'report-resume': {
			const {waitMs, inPlace} = effect;
			const cause = describeResume(stream, inPlace);
			return transition(state, [
				recordStream(stream, {kind: 'resumed', waitMs, cause}),
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

/** A server that answers is alive, and one that forgot may have let go. */
function takeDeath(
	state: EntryState,
	stream: Stream,
	{cause}: Extract<GenerationEffect, {kind: 'report-death'}>,
	now: number,
): EntryTransition {
	return cause === 'stalled' || (cause === 'not-held' && stream.isAdopted)
		? transition(state)
		: reportDeath(state, stream, now);
}

function describeResume(stream: Stream, isInPlace: boolean) {
	if (stream.isAdopted) {
		return 'entry-lost';
	}

	return isInPlace ? 'connection-lost' : 'backend-server-lost';
}

function queueStream(
	state: EntryState,
	stream: Stream,
	effect: Extract<GenerationEffect, {kind: 'place'}>,
	moment: Moment,
): EntryTransition {
	const {excluded, resumed: isResumed} = effect;
	const released = releaseBackend(state, stream);
	const queued: Stream = {
		...stream,
		backend: undefined,
		phase: {kind: 'queued', isResumed, excluded},
	};
	const next = {
		...released,
		streams: released.streams.set(stream.id, queued),
	};
	if (isConvicted(state, stream.customer, stream.input.digest)) {
		const {now} = moment;
		const reason = 'quarantined';
		return stepStream(
			next,
			stream.id,
			{kind: 'placement-refused', reason, now},
			moment,
		);
	}

	return enqueueStream(next, queued, moment);
}

/** Gives a waiting stream a backend server if one has room. */
export function placeStream(
	state: EntryState,
	stream: Stream,
	moment: Moment,
): EntryTransition {
	if (stream.phase.kind !== 'queued' || isHeld(state, stream, moment.now)) {
		return transition(state);
	}

	const {input, customer, phase, model} = stream;
	const {service, prefixes, digest} = input;
	const {excluded} = phase;
	const suspect = isSuspect(state, customer, digest)
		? strikeDigest(customer, digest)
		: undefined;
	const place = choosePlace(
		state,
		{service, model, prefixes, excluded, suspect},
		moment,
	);
	if (!place) {
		return transition(state);
	}

	const {id: backend, address, incarnation} = place.announcement;
	const running: Stream = {
		...stream,
		phase: {kind: 'running'},
		backend: {id: backend, address, incarnation},
	};
	const next: EntryState = {
		...state,
		view: countInFlight(state.view, backend, 1),
		streams: state.streams.set(stream.id, running),
	};
	const {now} = moment;
	return stepStream(next, stream.id, {kind: 'placed', backend, now}, moment);
}
