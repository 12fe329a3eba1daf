import {type RaftEvent, type ReplicaId, stepRaft} from '@lovagevalve/consensus';
import type {
	ControlAnswer,
	ControlEffect,
	ControlState,
	LeaderState,
	RequestFailure,
} from './control-types.js';
import {listMembers} from './members.js';

/** Working state of one step: the current state and the effects collected so far. */
export type StepContext = Readonly<{
	now: number;
	wall: number;
	state: ControlState;
	effects: readonly ControlEffect[];
}>;

/** Raft event without its time, which comes from the step context. */
export type RaftInput = RaftEvent extends infer Event
	? Event extends RaftEvent
		? Omit<Event, 'now'>
		: never
	: never;

/** Replaces the given fields of the state. */
export function update(
	context: StepContext,
	patch: Partial<ControlState>,
): StepContext {
	return {...context, state: {...context.state, ...patch}};
}

/** Appends effects. */
export function emit(
	context: StepContext,
	...effects: readonly ControlEffect[]
): StepContext {
	return {...context, effects: [...context.effects, ...effects]};
}

/** Appends the answer to a request. */
export function respond(
	context: StepContext,
	request: string,
	response: ControlAnswer,
): StepContext {
	return emit(context, {kind: 'respond', request, response});
}

/** Updates the leader state; does nothing on an instance that is not the leader. */
export function updateLeaderState(
	context: StepContext,
	change: (leaderState: LeaderState) => LeaderState,
): StepContext {
	const {leaderState} = context.state;
	return leaderState === undefined
		? context
		: update(context, {leaderState: change(leaderState)});
}

/** Creates the `not-leader` answer with the leader's address, if it is known. */
export function createNotLeaderAnswer(
	state: ControlState,
	leader: ReplicaId | undefined,
): RequestFailure {
	const member = listMembers(state).find(({replica}) => replica === leader);
	return {kind: 'not-leader', leader: member?.address};
}

/** Steps Raft and returns its effects for the caller to handle. */
export function applyRaftInput(context: StepContext, input: RaftInput) {
	const {state: raft, effects} = stepRaft(context.state.raft, {
		...input,
		now: context.now,
	});
	return {context: update(context, {raft}), effects};
}
