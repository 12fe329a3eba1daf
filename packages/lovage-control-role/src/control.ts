import {
	createRaft,
	type RaftSettings,
	type RecoveredState,
} from '@lovagevalve/consensus';
import {createTransition, type Transition} from '@lovagevalve/core';
import {Map} from 'immutable';
import {FOUNDING} from './answer-requests.js';
import type {
	ControlEffect,
	ControlEvent,
	ControlInput,
	ControlSettings,
	ControlState,
} from './control-types.js';
import {finish} from './finish.js';
import {propose, runRaft} from './handle-raft.js';
import {createMachine, decodeMachine} from './machine.js';
import {review, sendOrders} from './review.js';
import {respond, type Turn, update, updateLeadership} from './turn.js';

/** What a control instance starts from; `now` in monotonic milliseconds. */
export type ControlOptions = Readonly<{
	recovered: RecoveredState;
	raft: RaftSettings;
	settings: ControlSettings;
	seed: number;
	now: number;
}>;

/** Creates a control instance from what its disk holds. */
export function createControl(options: ControlOptions): ControlState {
	const {recovered, raft, settings, seed, now} = options;
	const {snapshot} = recovered;
	const index = snapshot?.index ?? 0;
	const isEmpty = snapshot === undefined || snapshot.data === '';
	const machine = isEmpty ? createMachine() : decodeMachine(snapshot.data);
	return {
		settings,
		raft: createRaft({recovered, settings: raft, seed, now}),
		machine: {...machine, appliedIndex: index},
		waiting: Map(),
		reads: Map(),
		joins: Map(),
		snapshotIndex: index,
		nextInternal: 1,
	};
}

function addJoin(turn: Turn, key: string, request: string): Turn {
	const {joins} = turn.state;
	const requests = [...(joins.get(key) ?? []), request];
	return update(turn, {joins: joins.set(key, requests)});
}

function isOverloaded({waiting, reads, joins, settings}: ControlState) {
	return waiting.size + reads.size + joins.size >= settings.maxWaiting;
}

function refuse(turn: Turn, request: string, input: ControlInput): Turn {
	const reason = 'Too many requests wait.';
	return input.kind === 'initialise'
		? respond(turn, request, {
				to: input.kind,
				answer: {kind: 'refused', reason},
			})
		: respond(turn, request, {to: input.kind, answer: {kind: 'unavailable'}});
}

function takeRequest(turn: Turn, request: string, input: ControlInput): Turn {
	if (isOverloaded(turn.state)) {
		return refuse(turn, request, input);
	}

	switch (input.kind) {
		case 'apply': {
			const isBootstrap =
				input.keyHash === turn.state.settings.bootstrapKeyHash;
			return propose(turn, {...input, isBootstrap}, {request, to: 'apply'});
		}

		case 'claim':
		case 'report-deaths': {
			return propose(turn, input, {request, to: input.kind});
		}

		case 'renew':
		case 'read-configuration':
		case 'progress': {
			const read = `r${request}`;
			const reads = turn.state.reads.set(read, {request, input});
			return runRaft(update(turn, {reads}), {kind: 'read-requested', read});
		}

		case 'join': {
			const {member} = input;
			return runRaft(addJoin(turn, member.replica, request), {
				kind: 'join-requested',
				member,
			});
		}

		case 'initialise': {
			const {group, members} = input;
			return runRaft(addJoin(turn, FOUNDING, request), {
				kind: 'initialised',
				group,
				members,
			});
		}
	}
}

function answerOrder(
	turn: Turn,
	event: Extract<ControlEvent, {kind: 'order-answered'}>,
): Turn {
	const {order, outcome, detail} = event;
	if (outcome === 'accepted') {
		return turn;
	}

	return updateLeadership(turn, (leadership) => ({
		...leadership,
		orders: {
			...leadership.orders,
			entries: leadership.orders.entries.map((entry) =>
				entry.order === order && entry.state === 'sent'
					? {...entry, state: 'refused', detail, at: turn.now}
					: entry,
			),
		},
	}));
}

function handle(turn: Turn, event: ControlEvent): Turn {
	switch (event.kind) {
		case 'ticked': {
			return review(runRaft(turn, {kind: 'ticked'}));
		}

		case 'received': {
			const {message} = event;
			return sendOrders(runRaft(turn, {kind: 'received', message}));
		}

		case 'synced': {
			const {sequence} = event;
			return sendOrders(runRaft(turn, {kind: 'synced', sequence}));
		}

		case 'requested': {
			return takeRequest(turn, event.request, event.input);
		}

		case 'order-answered': {
			return answerOrder(turn, event);
		}

		case 'transfer-requested': {
			return runRaft(turn, {kind: 'transfer-requested'});
		}
	}
}

/** Decides what a control instance does about one event. */
export function stepControl(
	state: ControlState,
	event: ControlEvent,
): Transition<ControlState, ControlEffect> {
	const {now, wall} = event;
	const turn = finish(handle({now, wall, state, effects: []}, event));
	return createTransition(turn.state, turn.effects);
}
