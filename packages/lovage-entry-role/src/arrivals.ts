import {
	stepDispatch,
	type DispatchEffect,
	type DispatchEvent,
	type DispatchReply,
} from '@lovagevalve/claims';
import {recordEnd, recordWork} from './call-facts.js';
import {connectCall} from './connect.js';
import type {EntryEffect} from './effects.js';
import type {EntryEvent} from './events.js';
import {type RefusalDetail, judgeRefusal} from './refusals.js';
import type {Moment} from './moment.js';
import {describeReply} from './replies.js';
import type {Call, EntryState} from './state.js';
import {chainEach, transition, type EntryTransition} from './transition.js';

/** Applies one event to the claim and dispatch of a non-idempotent call. */
export function stepArrival(
	state: EntryState,
	call: Call,
	event: DispatchEvent,
	moment: Moment,
): EntryTransition {
	if (!call.arrival) {
		return transition(state);
	}

	const step = stepDispatch(call.arrival, event);
	const next: Call = {...call, arrival: step.state};
	return chainEach(
		{...state, calls: state.calls.set(call.id, next)},
		step.effects,
		(current, effect) => runEffect(current, call.id, effect, moment),
	);
}

/** Gives a non-idempotent call up once "not run" is settled. */
export function withdrawArrival(
	state: EntryState,
	call: Call,
	refusal: RefusalDetail,
	moment: Moment,
): EntryTransition {
	const next: Call = {...call, phase: {kind: 'claiming'}, refusal};
	return stepArrival(state, next, {kind: 'withdraw'}, moment);
}

function runEffect(
	state: EntryState,
	id: string,
	effect: DispatchEffect,
	moment: Moment,
): EntryTransition {
	const call = state.calls.get(id);
	if (!call) {
		return transition(state);
	}

	switch (effect.kind) {
		case 'open-claim':
		case 'refuse-claim': {
			const {kind, request} = effect;
			return transition(state, [{kind, call: id, request}]);
		}

		case 'settle-claim': {
			const {claim, outcome} = effect;
			const {customer, input} = call;
			const {requestId} = input;
			return transition(state, [
				{kind: 'settle-claim', call: id, customer, requestId, claim, outcome},
			]);
		}

		case 'connect': {
			return connectCall(state, call, moment, withdrawArrival);
		}

		case 'write': {
			return writeCall(state, call);
		}

		case 'reply': {
			return replyCall(state, call, effect.reply);
		}
	}
}

/** Lets the host write the call on the connection that is open. */
export function writeCall(state: EntryState, call: Call): EntryTransition {
	const {phase, id, dispatch} = call;
	if (phase.kind !== 'connecting') {
		return transition(state);
	}

	const {backend} = phase;
	const next: Call = {...call, phase: {kind: 'dispatched', backend}};
	return transition({...state, calls: state.calls.set(id, next)}, [
		{kind: 'write-call', call: id, dispatch},
	]);
}

function createReply(call: Call, reply: DispatchReply): EntryEffect {
	if (reply.kind === 'done') {
		return {
			kind: 'answer-call',
			call: call.id,
			result: reply.answer,
			replayed: call.phase.kind !== 'dispatched',
		};
	}

	const refusal = describeRefusal(call, reply);
	return {kind: 'refuse-call', call: call.id, refusal};
}

function describeRefusal(
	call: Call,
	reply: Exclude<DispatchReply, {kind: 'done'}>,
): RefusalDetail {
	return reply.kind === 'not-run' && call.refusal
		? call.refusal
		: describeReply(reply);
}

function recordReply(call: Call, reply: DispatchReply): readonly EntryEffect[] {
	const isRun = call.phase.kind === 'dispatched';
	if (reply.kind === 'done') {
		return isRun
			? [recordWork(call), recordEnd(call, 'finished')]
			: [recordEnd(call, 'finished')];
	}

	const {reason} = describeRefusal(call, reply);
	return [recordEnd(call, isRun ? 'failed' : judgeRefusal(reason))];
}

function replyCall(
	state: EntryState,
	call: Call,
	reply: DispatchReply,
): EntryTransition {
	const next = {...state, calls: state.calls.delete(call.id)};
	return transition(next, [
		createReply(call, reply),
		...recordReply(call, reply),
	]);
}

/** Goes on with a call once the control group has answered for its claim. */
export function answerClaim(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'claim-answered'}>,
): EntryTransition {
	const call = state.calls.get(event.call);
	if (!call) {
		return transition(state);
	}

	const {answer} = event;
	return stepArrival(
		state,
		call,
		answer.kind === 'unavailable'
			? {kind: 'claim-failed'}
			: {kind: 'claim-answered', answer},
		event,
	);
}
