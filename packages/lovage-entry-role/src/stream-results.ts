import type {FailureReason, GenerationEffect} from '@lovagevalve/generation';
import type {EntryEffect} from './effects.js';
import {
	DEFAULT_RETRY_AFTER_MS,
	classifyRefusal,
	type RefusalReason,
	type RefusalDetail,
} from './refusals.js';
import {unregisterLocation} from './generation-locations.js';
import {createLocation, type EntryState, type Stream} from './state.js';
import {createStreamRecord} from './stream-records.js';
import {isQuarantined, isSuspect, createQuarantineKey} from './suspects.js';
import {chain, transition, type EntryTransition} from './transition.js';
import {adjustInFlight} from './view.js';

/** Stops counting a stream's attempt as in flight on its backend server. */
export function releaseStreamBackend(
	state: EntryState,
	stream: Stream,
): EntryState {
	return stream.backend
		? {...state, view: adjustInFlight(state.view, stream.backend.id, -1)}
		: state;
}

/** Sends tokens to the caller and records the time to the first one. */
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
	if (stream.hasDeliveredTokens) {
		return transition(state, [deliver]);
	}

	const waitMs = now - stream.arrivedAt;
	const next = {...stream, hasDeliveredTokens: true};
	return transition({...state, streams: state.streams.set(stream.id, next)}, [
		deliver,
		createStreamRecord(stream, {kind: 'first-token', waitMs}),
	]);
}

function removeStream(state: EntryState, stream: Stream): EntryState {
	const released = releaseStreamBackend(state, stream);
	return {...released, streams: released.streams.delete(stream.id)};
}

/** Ends a stream whose answer is complete. */
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
		? [
				{
					kind: 'report-completed',
					digest: createQuarantineKey(customer, input.digest),
				},
			]
		: [];
	return transition(removeStream(state, stream), [
		{kind: 'finish-stream', stream: stream.id, total},
		createStreamRecord(stream, {kind: 'worked', amount: total}),
		createStreamRecord(stream, {kind: 'ended', outcome: 'finished'}),
		...completed,
	]);
}

const REFUSAL_BY_FAILURE: Readonly<
	Record<FailureReason, Readonly<{reason: RefusalReason; detail: string}>>
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

const NON_RETRYABLE_FAILURES: ReadonlySet<FailureReason> = new Set([
	'backend-refused',
	'quarantined',
]);

function describeFailure(
	reason: FailureReason,
	retryAfterMs = DEFAULT_RETRY_AFTER_MS,
): RefusalDetail {
	return NON_RETRYABLE_FAILURES.has(reason)
		? REFUSAL_BY_FAILURE[reason]
		: {...REFUSAL_BY_FAILURE[reason], retryAfterMs};
}

function classifyFailure(stream: Stream, reason: RefusalReason) {
	const outcome = classifyRefusal(reason);
	return outcome === 'refused' && stream.hasDeliveredTokens
		? 'failed'
		: outcome;
}

/** Ends a stream with a refusal. */
export function failStream(
	state: EntryState,
	stream: Stream,
	reason: FailureReason,
): EntryTransition {
	const cause = isQuarantined(state, stream.customer, stream.input.digest)
		? 'quarantined'
		: reason;
	const refusal = describeFailure(cause, stream.retryAfterMs);
	const refused = transition(removeStream(state, stream), [
		{kind: 'refuse-stream', stream: stream.id, refusal},
		createStreamRecord(stream, {
			kind: 'ended',
			outcome: classifyFailure(stream, refusal.reason),
		}),
	]);
	return chain(refused, (next) =>
		unregisterLocation(next, createLocation(state, stream)),
	);
}
