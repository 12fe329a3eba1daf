import {createDispatch} from '@lovagevalve/claims';
import {isNonIdempotent} from '@lovagevalve/inventory';
import {stepArrival, withdrawArrival, writeCall} from './arrivals.js';
import {checkRequest, findBusyRefusal} from './checks.js';
import {connectCall, type GiveUp} from './connect.js';
import type {EntryEvent} from './events.js';
import {type RefusalDetail, judgeRefusal} from './refusals.js';
import type {Moment} from './moment.js';
import type {Call, EntryState} from './state.js';
import {recordDuplicate, recordEnd, recordWork} from './call-facts.js';
import {chain, transition, type EntryTransition} from './transition.js';
import {countInFlight} from './view.js';

type Requested = Extract<EntryEvent, {kind: 'call-requested'}>;
type CallEvent = Extract<EntryEvent, {call: string; dispatch: number}>;

/** Statuses of a backend server that another one may answer better. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([429, 502, 503, 504]);

function refuse(
	state: EntryState,
	call: string,
	refusal: RefusalDetail,
): EntryTransition {
	const known = state.calls.get(call);
	const next = {...state, calls: state.calls.delete(call)};
	return transition(next, [
		{kind: 'refuse-call', call, refusal},
		...(known ? [recordEnd(known, judgeRefusal(refusal.reason))] : []),
	]);
}

/** An idempotent call promises nothing when it is given up. */
const giveUpIdempotent: GiveUp = (state, call, refusal) => {
	const {reason, detail, retryAfterMs} = refusal;
	return refuse(state, call.id, {reason, detail, retryAfterMs});
};

function createArrival(state: EntryState, customer: string, event: Requested) {
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

/** Takes in a caller's call of a plain service. */
export function requestCall(
	state: EntryState,
	event: Requested,
): EntryTransition {
	const {call: id, input, now} = event;
	const check = checkRequest(state, {
		keyHash: event.keyHash,
		service: input.service,
		kind: 'plain',
		now,
	});
	if (check.kind === 'refused') {
		return refuse(state, id, check.refusal);
	}

	const {configuration, customer} = check;
	const call: Call = {
		id,
		customer,
		input,
		phase: {kind: 'claiming'},
		arrival: isNonIdempotent(
			configuration.rules,
			input.service,
			input.operation,
		)
			? createArrival(state, customer, event)
			: undefined,
		dispatch: 0,
		deadlineAt:
			input.deadlineMs === undefined ? undefined : now + input.deadlineMs,
		excluded: [],
		refusal: undefined,
	};
	const busy = findBusyRefusal(state);
	if (!call.arrival) {
		return busy
			? refuse(state, id, busy)
			: connectCall(state, call, event, giveUpIdempotent);
	}

	return busy
		? withdrawArrival(state, call, busy, event)
		: stepArrival(state, call, {kind: 'start', now}, event);
}

function findDispatch(state: EntryState, event: CallEvent): Call | undefined {
	const call = state.calls.get(event.call);
	return call?.dispatch === event.dispatch ? call : undefined;
}

function releaseBackend(state: EntryState, call: Call): EntryState {
	return call.phase.kind === 'claiming'
		? state
		: {...state, view: countInFlight(state.view, call.phase.backend, -1)};
}

/** Writes a call on its open connection, unless its time has passed. */
export function sendConnectedCall(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'call-connected'}>,
): EntryTransition {
	const call = findDispatch(state, event);
	if (call?.phase.kind !== 'connecting') {
		return transition(state);
	}

	if (!call.arrival) {
		return writeCall(state, call);
	}

	const {now} = event;
	const ready = stepArrival(state, call, {kind: 'write-ready', now}, event);
	const isWritten = ready.state.calls.get(call.id)?.phase.kind === 'dispatched';
	return isWritten
		? ready
		: transition(releaseUnwritten(ready.state, call), ready.effects);
}

/** Lets go of the connection of a call that came too late to be written. */
function releaseUnwritten(state: EntryState, call: Call): EntryState {
	const refused = state.calls.get(call.id);
	const released = releaseBackend(state, call);
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

/** Passes on the answer of a backend server. */
export function answerCall(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'call-answered'}>,
): EntryTransition {
	const call = findDispatch(state, event);
	if (call?.phase.kind !== 'dispatched') {
		return transition(state);
	}

	const {result} = event;
	const released = releaseBackend(state, call);
	if (call.arrival) {
		const answered = {kind: 'call-answered', answer: result} as const;
		return stepArrival(released, call, answered, event);
	}

	if (RETRIED_STATUSES.has(result.status)) {
		return connectElsewhere(released, call, event);
	}

	return transition({...released, calls: released.calls.delete(call.id)}, [
		{kind: 'answer-call', call: call.id, result, replayed: false},
		recordWork(call),
		recordEnd(call, 'finished'),
	]);
}

function connectElsewhere(
	state: EntryState,
	call: Call,
	moment: Moment,
): EntryTransition {
	const tried = call.phase.kind === 'claiming' ? [] : [call.phase.backend];
	const excluded = [...call.excluded, ...tried];
	const giveUp = call.arrival ? withdrawArrival : giveUpIdempotent;
	return connectCall(state, {...call, excluded}, moment, giveUp);
}

/** Goes on when no byte of a call was handed to the backend server. */
export function continueUnsentCall(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'call-not-sent'}>,
): EntryTransition {
	const call = findDispatch(state, event);
	return call?.phase.kind === 'connecting'
		? connectElsewhere(releaseBackend(state, call), call, event)
		: transition(state);
}

/** Goes on when an exchange failed after bytes may have been handed over. */
export function continueLostCall(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'call-lost'}>,
): EntryTransition {
	const call = findDispatch(state, event);
	if (call?.phase.kind !== 'dispatched') {
		return transition(state);
	}

	const released = releaseBackend(state, call);
	if (call.arrival) {
		return stepArrival(released, call, {kind: 'call-lost'}, event);
	}

	return chain(transition(released, [recordDuplicate(call)]), (next) =>
		connectElsewhere(next, call, event),
	);
}
