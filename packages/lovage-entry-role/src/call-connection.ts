import {
	DEFAULT_RETRY_AFTER_MS,
	type RefusalReason,
	type RefusalDetail,
} from './refusals.js';
import type {StepContext} from './step-context.js';
import {selectBackend} from './backend-selection.js';
import type {Call, EntryState} from './state.js';
import {transition, type EntryTransition} from './transition.js';
import {adjustInFlight} from './view.js';

/** Refuses a call of which no byte was sent to a backend server. */
export type RefuseCall = (
	state: EntryState,
	call: Call,
	refusal: RefusalDetail,
	context: StepContext,
) => EntryTransition;

function createNotRunRefusal(
	reason: RefusalReason,
	detail: string,
): RefusalDetail {
	return {
		reason,
		detail,
		outcome: 'not-run',
		retryAfterMs: DEFAULT_RETRY_AFTER_MS,
	};
}

function findConnectRefusal(
	state: EntryState,
	call: Call,
	now: number,
): RefusalDetail | undefined {
	if (call.deadlineAt !== undefined && now >= call.deadlineAt) {
		return createNotRunRefusal(
			'deadline-passed',
			'The deadline of this call has passed.',
		);
	}

	return call.dispatch >= state.options.callAttempts
		? createNotRunRefusal(
				'no-backend-server',
				'No backend server answered this call.',
			)
		: undefined;
}

/** Connects a call to a backend server, or refuses it if there is none. */
export function connectCall(
	state: EntryState,
	call: Call,
	context: StepContext,
	refuseCall: RefuseCall,
): EntryTransition {
	const refusal = findConnectRefusal(state, call, context.now);
	if (refusal) {
		return refuseCall(state, call, refusal, context);
	}

	const chosen = selectBackend(
		state,
		{service: call.input.service, prefixes: [], excluded: call.excluded},
		context,
	);
	if (!chosen) {
		const detail = 'No backend server has room for this call.';
		return refuseCall(
			state,
			call,
			createNotRunRefusal('no-backend-server', detail),
			context,
		);
	}

	return openConnection(state, call, chosen.announcement, context.now);
}

function openConnection(
	state: EntryState,
	call: Call,
	backend: Readonly<{id: string; address: string}>,
	now: number,
): EntryTransition {
	const dispatch = call.dispatch + 1;
	const next: Call = {
		...call,
		dispatch,
		phase: {kind: 'connecting', backend: backend.id},
	};
	const untilDeadline = (call.deadlineAt ?? Number.POSITIVE_INFINITY) - now;
	return transition(
		{
			...state,
			view: adjustInFlight(state.view, backend.id, 1),
			calls: state.calls.set(call.id, next),
		},
		[
			{
				kind: 'connect-call',
				call: call.id,
				dispatch,
				customer: call.customer,
				address: backend.address,
				timeoutMs: Math.min(state.options.callTimeoutMs, untilDeadline),
			},
		],
	);
}
