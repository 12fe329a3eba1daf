import {COME_BACK_MS, type Refusal, type RefusalDetail} from './refusals.js';
import type {Moment} from './moment.js';
import {choosePlace} from './place.js';
import type {Call, EntryState} from './state.js';
import {transition, type EntryTransition} from './transition.js';
import {countInFlight} from './view.js';

/** Gives a call up that was handed to no backend server. */
export type GiveUp = (
	state: EntryState,
	call: Call,
	refusal: RefusalDetail,
	moment: Moment,
) => EntryTransition;

function describe(reason: Refusal, detail: string): RefusalDetail {
	return {reason, detail, outcome: 'not-run', retryAfterMs: COME_BACK_MS};
}

function findRefusal(
	state: EntryState,
	call: Call,
	now: number,
): RefusalDetail | undefined {
	if (call.deadlineAt !== undefined && now >= call.deadlineAt) {
		return describe('deadline-passed', 'The deadline of this call has passed.');
	}

	return call.dispatch >= state.options.callAttempts
		? describe('no-backend-server', 'No backend server answered this call.')
		: undefined;
}

/** Connects a call to a backend server, or gives it up at once. */
export function connectCall(
	state: EntryState,
	call: Call,
	moment: Moment,
	giveUp: GiveUp,
): EntryTransition {
	const refusal = findRefusal(state, call, moment.now);
	if (refusal) {
		return giveUp(state, call, refusal, moment);
	}

	const place = choosePlace(
		state,
		{service: call.input.service, prefixes: [], excluded: call.excluded},
		moment,
	);
	if (!place) {
		const detail = 'No backend server has room for this call.';
		return giveUp(state, call, describe('no-backend-server', detail), moment);
	}

	return openConnection(state, call, place.announcement, moment.now);
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
			view: countInFlight(state.view, backend.id, 1),
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
