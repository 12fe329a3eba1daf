import {type RaftEvent, type ReplicaId, stepRaft} from '@lovagevalve/consensus';
import type {
	ControlAnswer,
	ControlEffect,
	ControlState,
	LeaderState,
	RequestFailure,
} from './control-types.js';
import {listMembers} from './members.js';

/** Work on one event: the state so far and what is to be done about it. */
export type StepContext = Readonly<{
	now: number;
	wall: number;
	state: ControlState;
	effects: readonly ControlEffect[];
}>;

/** Raft event without the time, which the turn adds. */
export type RaftInput = RaftEvent extends infer Event
	? Event extends RaftEvent
		? Omit<Event, 'now'>
		: never
	: never;

/** Changes parts of the state. */
export function update(
	context: StepContext,
	patch: Partial<ControlState>,
): StepContext {
	return {...context, state: {...context.state, ...patch}};
}

/** Adds effects. */
export function emit(
	context: StepContext,
	...effects: readonly ControlEffect[]
): StepContext {
	return {...context, effects: [...context.effects, ...effects]};
}

/** Answers one request. */
export function respond(
	context: StepContext,
	request: string,
	response: ControlAnswer,
): StepContext {
	return emit(context, {kind: 'respond', request, response});
}

/** Changes what the leader keeps; nothing if this isn't the leader. */
export function updateLeaderState(
	context: StepContext,
	change: (leaderState: LeaderState) => LeaderState,
): StepContext {
	const {leaderState} = context.state;
	return leaderState === undefined
		? context
		: update(context, {leaderState: change(leaderState)});
}

/** Names the leader by its address. */
export function createNotLeaderAnswer(
	state: ControlState,
	leader: ReplicaId | undefined,
): RequestFailure {
	const member = listMembers(state).find(({replica}) => replica === leader);
	return {kind: 'not-leader', leader: member?.address};
}

/** Feeds the replicated log; its effects are handled by the caller. */
export function applyRaftInput(context: StepContext, input: RaftInput) {
	const {state: raft, effects} = stepRaft(context.state.raft, {
		...input,
		now: context.now,
	});
	return {context: update(context, {raft}), effects};
}
