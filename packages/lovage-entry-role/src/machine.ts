import {
	stepGeneration,
	type FailureReason,
	type GenerationEffect,
	type GenerationEvent,
	type GenerationTransition,
} from '@lovagevalve/generation';
import {CANCEL_FOR_MS} from './abandoned.js';
import {reportDeath} from './deaths.js';
import type {EntryEffect, Refusal, RefusalDetail} from './events.js';
import {choosePlace} from './place.js';
import {forgetPlace, publishPlace} from './places.js';
import {enqueueStream} from './queues.js';
import {judgeRefusal} from './refusals.js';
import {isConvicted, isHeld, isSuspect, strikeDigest} from './suspects.js';
import {describePlace, type EntryState, type Stream} from './state.js';
import {
	chain,
	chainEach,
	transition,
	type EntryTransition,
} from './transition.js';
import {countInFlight} from './view.js';

const COME_BACK_MS = 1000;

/** Time and randomness of one event. */
export type Moment = Readonly<{now: number; random: number}>;

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
			const work = describeWork(stream);
			return record(state, {...work, kind: 'resumed', waitMs, cause});
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

function describeWork(stream: Stream) {
	return {customer: stream.customer, service: stream.input.service};
}

function describeResume(stream: Stream, isInPlace: boolean) {
	if (stream.isAdopted) {
		return 'entry-lost';
	}

	return isInPlace ? 'connection-lost' : 'backend-server-lost';
}

function record(
	state: EntryState,
	fact: Extract<EntryEffect, {kind: 'record'}>['fact'],
): EntryTransition {
	return transition(state, [{kind: 'record', fact}]);
}

/** Lets go of the backend server of the attempt left behind. */
function releaseBackend(state: EntryState, stream: Stream): EntryState {
	return stream.backend
		? {...state, view: countInFlight(state.view, stream.backend.id, -1)}
		: state;
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

function startAttempt(
	state: EntryState,
	stream: Stream,
	effect: Extract<GenerationEffect, {kind: 'start'}>,
	now: number,
): EntryTransition {
	const {attempt, connection, prefixLength, backend} = effect;
	const effects: readonly EntryEffect[] = [
		{
			kind: 'start-attempt',
			stream: stream.id,
			address: stream.backend?.address ?? '',
			backend,
			generation: stream.generation,
			attempt,
			connection,
			prefixLength,
			model: stream.model,
			priority: stream.priority,
		},
		...(prefixLength > 0
			? [
					{
						kind: 'record',
						fact: {
							...describeWork(stream),
							kind: 'extra-used',
							amount: prefixLength,
							cause: 'recomputed-prefill',
						},
					} as const,
				]
			: []),
	];
	const started = {...stream, isAdopted: false};
	const next = {...state, streams: state.streams.set(stream.id, started)};
	return chain(transition(next, effects), (after) =>
		publishPlace(after, describePlace(after, started), now),
	);
}

function cancelAttempt(
	state: EntryState,
	stream: Stream,
	attempt: number,
): EntryTransition {
	const {generation, backend} = stream;
	if (!backend) {
		return transition(state);
	}

	const {address} = backend;
	return transition(state, [
		{
			kind: 'cancel-attempt',
			address,
			generation,
			attempt,
			giveUpAfterMs: CANCEL_FOR_MS,
		},
	]);
}

function deliverTokens(
	state: EntryState,
	stream: Stream,
	effect: Extract<GenerationEffect, {kind: 'deliver'}>,
	now: number,
): EntryTransition {
	const {offset, count} = effect;
	const deliver: EntryEffect = {
		kind: 'deliver-tokens',
		stream: stream.id,
		offset,
		count,
	};
	if (stream.hasToken) {
		return transition(state, [deliver]);
	}

	const waitMs = now - stream.arrivedAt;
	const next = {...stream, hasToken: true};
	return transition({...state, streams: state.streams.set(stream.id, next)}, [
		deliver,
		{
			kind: 'record',
			fact: {...describeWork(stream), kind: 'first-token', waitMs},
		},
	]);
}

function removeStream(state: EntryState, stream: Stream): EntryState {
	const released = releaseBackend(state, stream);
	return {...released, streams: released.streams.delete(stream.id)};
}

function finishStream(
	state: EntryState,
	stream: Stream,
	total: number,
): EntryTransition {
	const {customer, input} = stream;
	const completed: readonly EntryEffect[] = isSuspect(
		state,
		customer,
		input.digest,
	)
		? [{kind: 'report-completed', digest: strikeDigest(customer, input.digest)}]
		: [];
	return transition(removeStream(state, stream), [
		{kind: 'finish-stream', stream: stream.id, total},
		{
			kind: 'record',
			fact: {...describeWork(stream), kind: 'worked', amount: total},
		},
		{
			kind: 'record',
			fact: {...describeWork(stream), kind: 'ended', outcome: 'finished'},
		},
		...completed,
	]);
}

const FAILURES: Readonly<
	Record<FailureReason, Readonly<{reason: Refusal; detail: string}>>
> = {
	'no-backend-server': {
		reason: 'no-backend-server',
		detail: 'No backend server has room for this request.',
	},
	'retry-budget-spent': {
		reason: 'retry-budget-spent',
		detail: 'Too many attempts of this generation were lost.',
	},
	quarantined: {
		reason: 'quarantined',
		detail: 'This request crashed the backend servers that ran it.',
	},
	'deadline-passed': {
		reason: 'deadline-passed',
		detail: 'The answer cannot be whole before its deadline.',
	},
	'backend-refused': {
		reason: 'backend-refused',
		detail: 'The backend server refused this request.',
	},
	'prefix-missing': {
		reason: 'prefix-missing',
		detail:
			'The backend server lost the generation; send the delivered tokens with the cursor to go on.',
	},
	'caller-left': {reason: 'in-progress', detail: 'The caller left.'},
};

const FINAL: ReadonlySet<FailureReason> = new Set([
	'backend-refused',
	'quarantined',
]);

function describeFailure(
	reason: FailureReason,
	retryAfterMs = COME_BACK_MS,
): RefusalDetail {
	return FINAL.has(reason)
		? FAILURES[reason]
		: {...FAILURES[reason], retryAfterMs};
}

function judgeEnd(stream: Stream, reason: Refusal) {
	const outcome = judgeRefusal(reason);
	return outcome === 'refused' && stream.hasToken ? 'failed' : outcome;
}

function failStream(
	state: EntryState,
	stream: Stream,
	reason: FailureReason,
): EntryTransition {
	const cause = isConvicted(state, stream.customer, stream.input.digest)
		? 'quarantined'
		: reason;
	const refusal = describeFailure(cause, stream.retryAfterMs);
	const refused = transition(removeStream(state, stream), [
		{kind: 'refuse-stream', stream: stream.id, refusal},
		{
			kind: 'record',
			fact: {
				...describeWork(stream),
				kind: 'ended',
				outcome: judgeEnd(stream, refusal.reason),
			},
		},
	]);
	return chain(refused, (next) =>
		forgetPlace(next, describePlace(state, stream)),
	);
}
