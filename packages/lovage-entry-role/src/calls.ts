import {createDispatch} from '@lovagevalve/claims';
import {isNonIdempotent} from '@lovagevalve/inventory';
import {
	stepClaimedCall,
	withdrawClaimedCall,
	writeCall,
} from './claimed-calls.js';
import {checkRequest, findUnavailableRefusal} from './checks.js';
import {connectCall, type RefuseCall} from './call-connection.js';
import type {EntryEvent} from './events.js';
import {type RefusalDetail, classifyRefusal} from './refusals.js';
import type {StepContext} from './step-context.js';
import type {Call, EntryState} from './state.js';
import {
	createDuplicateAttemptRecord,
	createCallOutcomeRecord,
	createCallExecutionRecord,
} from './call-records.js';
import {chain, transition, type EntryTransition} from './transition.js';
import {adjustInFlight} from './view.js';

type CallRequestedEvent = Extract<EntryEvent, {kind: 'call-requested'}>;
type CallEvent = Extract<EntryEvent, {call: string; dispatch: number}>;

/** Response statuses after which an idempotent call is retried on another server. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([429, 502, 503, 504]);

function refuseCall(
	state: EntryState,
	call: string,
	refusal: RefusalDetail,
): EntryTransition {
	const known = state.calls.get(call);
	const next = {...state, calls: state.calls.delete(call)};
	return transition(next, [
		{kind: 'refuse-call', call, refusal},
		...(known
			? [createCallOutcomeRecord(known, classifyRefusal(refusal.reason))]
			: []),
	]);
}

/** Refuses an idempotent call without an outcome: an earlier attempt may have run. */
const refuseIdempotentCall: RefuseCall = (state, call, refusal) => {
	const {reason, detail, retryAfterMs} = refusal;
	return refuseCall(state, call.id, {reason, detail, retryAfterMs});
};

function createClaimedDispatch(
	state: EntryState,
	customer: string,
	event: CallRequestedEvent,
) {
	const {requestId, attempt, digest} = event.input;
	const {id: entry, incarnation} = state.options;
	return createDispatch({
		customer,
		requestId,
		attempt,
		digest,
		entry,
		incarnation,
		copy: event.call,
	});
}

/** Accepts or refuses a caller's call of a plain service. */
export function requestCall(
	state: EntryState,
	event: CallRequestedEvent,
): EntryTransition {
	const {call: id, input, now} = event;
	const check = checkRequest(state, {
		keyHash: event.keyHash,
		service: input.service,
		kind: 'plain',
		now,
	});
	if (check.kind === 'refused') {
		return refuseCall(state, id, check.refusal);
	}

	const {configuration, customer} = check;
	const call: Call = {
		id,
		customer,
		input,
		phase: {kind: 'claiming'},
		claimedDispatch: isNonIdempotent(
			configuration.rules,
			input.service,
			input.operation,
		)
			? createClaimedDispatch(state, customer, event)
			: undefined,
		dispatch: 0,
		deadlineAt:
			input.deadlineMs === undefined ? undefined : now + input.deadlineMs,
		excluded: [],
		refusal: undefined,
	};
	const busy = findUnavailableRefusal(state);
	if (!call.claimedDispatch) {
		return busy
			? refuseCall(state, id, busy)
			: connectCall(state, call, event, refuseIdempotentCall);
	}

	return busy
		? withdrawClaimedCall(state, call, busy, event)
		: stepClaimedCall(state, call, {kind: 'start', now}, event);
}

function findCallOfDispatch(
	state: EntryState,
	event: CallEvent,
): Call | undefined {
	const call = state.calls.get(event.call);
	return call?.dispatch === event.dispatch ? call : undefined;
}

function releaseCallBackend(state: EntryState, call: Call): EntryState {
	return call.phase.kind === 'claiming'
		? state
		: {...state, view: adjustInFlight(state.view, call.phase.backend, -1)};
}

/** Writes a call on its open connection unless its claim has expired. */
export function writeConnectedCall(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'call-connected'}>,
): EntryTransition {
	const call = findCallOfDispatch(state, event);
	if (call?.phase.kind !== 'connecting') {
		return transition(state);
	}

	if (!call.claimedDispatch) {
		return writeCall(state, call);
	}

	const {now} = event;
	const ready = stepClaimedCall(state, call, {kind: 'write-ready', now}, event);
	const isWritten = ready.state.calls.get(call.id)?.phase.kind === 'dispatched';
	return isWritten
		? ready
		: transition(releaseUnwrittenCall(ready.state, call), ready.effects);
}

/** Releases the backend server of a call whose claim expired before the write. */
function releaseUnwrittenCall(state: EntryState, call: Call): EntryState {
	const refused = state.calls.get(call.id);
	const released = releaseCallBackend(state, call);
	return refused
		? {
				...released,
				calls: released.calls.set(call.id, {
					...refused,
					phase: {kind: 'claiming'},
				}),
			}
		: released;
}

/** Handles the response of a backend server. */
export function handleCallAnswer(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'call-answered'}>,
): EntryTransition {
	const call = findCallOfDispatch(state, event);
	if (call?.phase.kind !== 'dispatched') {
		return transition(state);
	}

	const {result} = event;
	const released = releaseCallBackend(state, call);
	if (call.claimedDispatch) {
		const answered = {kind: 'call-answered', answer: result} as const;
		return stepClaimedCall(released, call, answered, event);
	}

	if (RETRIED_STATUSES.has(result.status)) {
		return retryOnAnotherBackend(released, call, event);
	}

	return transition({...released, calls: released.calls.delete(call.id)}, [
		{kind: 'answer-call', call: call.id, result, replayed: false},
		createCallExecutionRecord(call),
		createCallOutcomeRecord(call, 'finished'),
	]);
}

function retryOnAnotherBackend(
	state: EntryState,
	call: Call,
	context: StepContext,
): EntryTransition {
	const tried = call.phase.kind === 'claiming' ? [] : [call.phase.backend];
	const excluded = [...call.excluded, ...tried];
	const refuse = call.claimedDispatch
		? withdrawClaimedCall
		: refuseIdempotentCall;
	return connectCall(state, {...call, excluded}, context, refuse);
}

/** Retries a call on another server when no byte of it was written. */
export function handleUnsentCall(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'call-not-sent'}>,
): EntryTransition {
	const call = findCallOfDispatch(state, event);
	return call?.phase.kind === 'connecting'
		? retryOnAnotherBackend(releaseCallBackend(state, call), call, event)
		: transition(state);
}

/**
 * Handles an exchange that failed after bytes may have been written. Only an
 * idempotent call is retried on another server.
 */
export function handleLostCall(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'call-lost'}>,
): EntryTransition {
	const call = findCallOfDispatch(state, event);
	if (call?.phase.kind !== 'dispatched') {
		return transition(state);
	}

	const released = releaseCallBackend(state, call);
	if (call.claimedDispatch) {
		return stepClaimedCall(released, call, {kind: 'call-lost'}, event);
	}

	return chain(
		transition(released, [createDuplicateAttemptRecord(call)]),
		(next) => retryOnAnotherBackend(next, call, event),
	);
}
