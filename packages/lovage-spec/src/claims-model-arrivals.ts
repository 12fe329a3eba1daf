import {
	type ClaimCommand,
	createDispatchStep,
	type DispatchEffect,
	type DispatchEvent,
	type IsGuardEnabled,
} from '@lovagevalve/claims';
import type {Arrival, World} from './claims-model-world.js';

/** Updates one arrival. */
export function updateArrival(
	state: World,
	index: number,
	change: (arrival: Arrival) => Arrival,
): World {
	return {
		...state,
		arrivals: state.arrivals.map((arrival, i) =>
			i === index ? change(arrival) : arrival,
		),
	};
}

function queueCommand(
	state: World,
	index: number,
	command: ClaimCommand,
	isAwaited: boolean,
): World {
	return updateArrival(state, index, (arrival) => ({
		...arrival,
		sent: [...arrival.sent, {command, isAwaited}],
	}));
}

function recordReply(
	state: World,
	index: number,
	reply: Extract<DispatchEffect, {kind: 'reply'}>['reply'],
): World {
	const {request} = state.arrivals[index]!.dispatch;
	const {notRun, unknown} = state.told;
	const told = {
		notRun: reply.kind === 'not-run' ? Math.max(notRun, reply.attempt) : notRun,
		unknown:
			reply.kind === 'unknown' ? Math.max(unknown, request.attempt) : unknown,
	};
	const isWrongAnswer =
		reply.kind === 'done' && reply.answer.body !== request.digest;
	return {
		...state,
		told,
		violation: isWrongAnswer ? 'an answer belongs to its request' : undefined,
	};
}

function createEffectRunner(index: number) {
	return (state: World, effect: DispatchEffect): World => {
		const {customer, requestId} = state.arrivals[index]!.dispatch.request;
		switch (effect.kind) {
			case 'open-claim': {
				const command = {kind: 'open', request: effect.request} as const;
				return queueCommand(state, index, command, true);
			}

			case 'refuse-claim': {
				const command = {kind: 'refuse', request: effect.request} as const;
				return queueCommand(state, index, command, true);
			}

			case 'settle-claim': {
				const {claim, outcome} = effect;
				const settled = {claim, customer, requestId, outcome};
				const isAwaited = outcome.kind === 'not-run';
				return queueCommand(
					state,
					index,
					{kind: 'settle', ...settled},
					isAwaited,
				);
			}

			case 'connect': {
				return state;
			}

			case 'write': {
				const {attempt} = state.arrivals[index]!.dispatch.request;
				const isAfterUnknown = state.told.unknown >= attempt;
				return {
					...state,
					writes: [...state.writes, index],
					violation: isAfterUnknown
						? 'no dispatch starts after "unknown" was told'
						: state.violation,
				};
			}

			case 'reply': {
				return recordReply(state, index, effect.reply);
			}
		}
	};
}

function stopAwaiting(arrival: Arrival): Arrival {
	return {
		...arrival,
		sent: arrival.sent.map((sent) => ({...sent, isAwaited: false})),
	};
}

/** Steps one arrival with an event and applies the resulting effects. */
export function stepArrival(
	state: World,
	index: number,
	event: DispatchEvent,
	isGuardEnabled: IsGuardEnabled,
): World {
	const {dispatch} = state.arrivals[index]!;
	const stepDispatch = createDispatchStep(isGuardEnabled);
	const {state: next, effects} = stepDispatch(dispatch, event);
	const endsWait = event.kind !== 'write-ready' && event.kind !== 'start';
	const updated = updateArrival(state, index, (arrival) => ({
		...(endsWait ? stopAwaiting(arrival) : arrival),
		dispatch: next,
	}));
	return effects.reduce(createEffectRunner(index), updated);
}
