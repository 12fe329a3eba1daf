import {type RaftEvent, type ReplicaId, stepRaft} from '@lovagevalve/consensus';
import type {
	ControlAnswer,
	ControlEffect,
	ControlState,
	Leadership,
	Redirect,
} from './control-types.js';
import {listMembers} from './members.js';

/** Work on one event: the state so far and what is to be done about it. */
export type Turn = Readonly<{
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
export function update(turn: Turn, patch: Partial<ControlState>): Turn {
	return {...turn, state: {...turn.state, ...patch}};
}

/** Adds effects. */
export function emit(turn: Turn, ...effects: readonly ControlEffect[]): Turn {
	return {...turn, effects: [...turn.effects, ...effects]};
}

/** Answers one request. */
export function respond(
	turn: Turn,
	request: string,
	response: ControlAnswer,
): Turn {
	return emit(turn, {kind: 'respond', request, response});
}

/** Changes what the leader keeps; nothing if this isn't the leader. */
export function updateLeadership(
	turn: Turn,
	change: (leadership: Leadership) => Leadership,
): Turn {
	const {leadership} = turn.state;
	return leadership === undefined
		? turn
		: update(turn, {leadership: change(leadership)});
}

/** Names the leader by its address. */
export function createNotLeader(
	state: ControlState,
	leader: ReplicaId | undefined,
): Redirect {
	const member = listMembers(state).find(({replica}) => replica === leader);
	return {kind: 'not-leader', leader: member?.address};
}

/** Feeds the replicated log; its effects are handled by the caller. */
export function feedRaft(turn: Turn, input: RaftInput) {
	const {state: raft, effects} = stepRaft(turn.state.raft, {
		...input,
		now: turn.now,
	});
	return {turn: update(turn, {raft}), effects};
}
