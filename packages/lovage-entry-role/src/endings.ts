import type {FailureReason, GenerationEffect} from '@lovagevalve/generation';
import type {EntryEffect} from './effects.js';
import {
	COME_BACK_MS,
	judgeRefusal,
	type Refusal,
	type RefusalDetail,
} from './refusals.js';
import {forgetPlace} from './places.js';
import {describePlace, type EntryState, type Stream} from './state.js';
import {recordStream} from './stream-facts.js';
import {isConvicted, isSuspect, strikeDigest} from './suspects.js';
import {chain, transition, type EntryTransition} from './transition.js';
import {countInFlight} from './view.js';

/** Lets go of the backend server of the attempt left behind. */
export function releaseBackend(state: EntryState, stream: Stream): EntryState {
	return stream.backend
		? {...state, view: countInFlight(state.view, stream.backend.id, -1)}
		: state;
}

/** Passes tokens on to the caller. */
export function deliverTokens(
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
		recordStream(stream, {kind: 'first-token', waitMs}),
	]);
}

function removeStream(state: EntryState, stream: Stream): EntryState {
	const released = releaseBackend(state, stream);
	return {...released, streams: released.streams.delete(stream.id)};
}

/** Ends a stream whose answer is whole. */
export function finishStream(
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
		recordStream(stream, {kind: 'worked', amount: total}),
		recordStream(stream, {kind: 'ended', outcome: 'finished'}),
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

/** Gives a stream its final answer without the rest. */
export function failStream(
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
		recordStream(stream, {
			kind: 'ended',
			outcome: judgeEnd(stream, refusal.reason),
		}),
	]);
	return chain(refused, (next) =>
		forgetPlace(next, describePlace(state, stream)),
	);
}
