import {
	stepDispatch,
	type DispatchEffect,
	type DispatchEvent,
	type DispatchReply,
} from '@lovagevalve/claims';
import {
	createCallOutcomeRecord,
	createCallExecutionRecord,
} from './call-records.js';
import {connectCall} from './call-connection.js';
import type {EntryEffect} from './effects.js';
import type {EntryEvent} from './events.js';
import {type RefusalDetail, classifyRefusal} from './refusals.js';
import type {StepContext} from './step-context.js';
import {createReplyRefusal} from './replies.js';
import type {Call, EntryState} from './state.js';
import {chainEach, transition, type EntryTransition} from './transition.js';

/** Applies one event to the claim and dispatch state of a non-idempotent call. */
export function stepClaimedCall(
	state: EntryState,
	call: Call,
	event: DispatchEvent,
	context: StepContext,
): EntryTransition {
	if (!call.claimedDispatch) {
		return transition(state);
	}

	const step = stepDispatch(call.claimedDispatch, event);
	const next: Call = {...call, claimedDispatch: step.state};
	return chainEach(
		{...state, calls: state.calls.set(call.id, next)},
		step.effects,
		(current, effect) => runDispatchEffect(current, call.id, effect, context),
	);
}

/** Refuses a non-idempotent call once its claim is settled as "not run". */
export function withdrawClaimedCall(
	state: EntryState,
	call: Call,
	refusal: RefusalDetail,
	context: StepContext,
): EntryTransition {
	const next: Call = {...call, phase: {kind: 'claiming'}, refusal};
	return stepClaimedCall(state, next, {kind: 'withdraw'}, context);
}

function runDispatchEffect(
	state: EntryState,
	id: string,
	effect: DispatchEffect,
	context: StepContext,
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
			return connectCall(state, call, context, withdrawClaimedCall);
		}

		case 'write': {
			return writeCall(state, call);
		}

		case 'reply': {
			return replyCall(state, call, effect.reply);
		}
	}
}

/** Tells the host to write a call on its open connection. */
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
		: createReplyRefusal(reply);
}

function recordReply(call: Call, reply: DispatchReply): readonly EntryEffect[] {
	const isDispatched = call.phase.kind === 'dispatched';
	if (reply.kind === 'done') {
		return isDispatched
			? [
					createCallExecutionRecord(call),
					createCallOutcomeRecord(call, 'finished'),
				]
			: [createCallOutcomeRecord(call, 'finished')];
	}

	const {reason} = describeRefusal(call, reply);
	return [
		createCallOutcomeRecord(
			call,
			isDispatched ? 'failed' : classifyRefusal(reason),
		),
	];
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

/** Handles the control group's answer to a claim request. */
export function handleClaimAnswer(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'claim-answered'}>,
): EntryTransition {
	const call = state.calls.get(event.call);
	if (!call) {
		return transition(state);
	}

	const {answer} = event;
	return stepClaimedCall(
		state,
		call,
		answer.kind === 'unavailable'
			? {kind: 'claim-failed'}
			: {kind: 'claim-answered', answer},
		event,
	);
}
