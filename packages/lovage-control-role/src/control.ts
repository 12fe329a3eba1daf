import {
	createRaft,
	type RaftSettings,
	type RecoveredState,
} from '@lovagevalve/consensus';
import {createTransition, type Transition} from '@lovagevalve/core';
import {Map} from 'immutable';
import {INITIALISE_KEY} from './answer-requests.js';
import type {
	ControlEffect,
	ControlEvent,
	ControlInput,
	ControlSettings,
	ControlState,
} from './control-types.js';
import {finishStep} from './finish.js';
import {propose, runRaft} from './handle-raft.js';
import {createStateMachine, decodeStateMachine} from './state-machine.js';
import {runLeaderTasks, sendOrders} from './leader-tasks.js';
import {
	respond,
	type StepContext,
	update,
	updateLeaderState,
} from './step-context.js';

/** Options of `createControl`; `now` is the monotonic clock in milliseconds. */
export type ControlOptions = Readonly<{
	recovered: RecoveredState;
	raft: RaftSettings;
	settings: ControlSettings;
	seed: number;
	now: number;
}>;

/** Creates a control instance from its recovered disk state. */
export function createControl(options: ControlOptions): ControlState {
	const {recovered, raft, settings, seed, now} = options;
	const {snapshot} = recovered;
	const index = snapshot?.index ?? 0;
	const isEmpty = snapshot === undefined || snapshot.data === '';
	const stateMachine = isEmpty
		? createStateMachine()
		: decodeStateMachine(snapshot.data);
	return {
		settings,
		raft: createRaft({recovered, settings: raft, seed, now}),
		stateMachine: {...stateMachine, appliedIndex: index},
		waiting: Map(),
		reads: Map(),
		joins: Map(),
		snapshotIndex: index,
		nextProposal: 1,
	};
}

function addMembershipRequest(
	context: StepContext,
	key: string,
	request: string,
): StepContext {
	const {joins} = context.state;
	const requests = [...(joins.get(key) ?? []), request];
	return update(context, {joins: joins.set(key, requests)});
}

function isOverloaded({waiting, reads, joins, settings}: ControlState) {
	return waiting.size + reads.size + joins.size >= settings.maxPendingRequests;
}

function refuse(
	context: StepContext,
	request: string,
	input: ControlInput,
): StepContext {
	const reason = 'Too many requests wait.';
	return input.kind === 'initialise'
		? respond(context, request, {
				to: input.kind,
				answer: {kind: 'refused', reason},
			})
		: respond(context, request, {
				to: input.kind,
				answer: {kind: 'unavailable'},
			});
}

function handleRequest(
	context: StepContext,
	request: string,
	input: ControlInput,
): StepContext {
	if (isOverloaded(context.state)) {
		return refuse(context, request, input);
	}

	switch (input.kind) {
		case 'apply': {
			const isBootstrap =
				input.keyHash === context.state.settings.bootstrapKeyHash;
			return propose(context, {...input, isBootstrap}, {request, to: 'apply'});
		}

		case 'claim':
		case 'report-deaths': {
			return propose(context, input, {request, to: input.kind});
		}

		case 'renew':
		case 'read-configuration':
		case 'progress': {
			const read = `r${request}`;
			const reads = context.state.reads.set(read, {request, input});
			return runRaft(update(context, {reads}), {kind: 'read-requested', read});
		}

		case 'join': {
			const {member} = input;
			return runRaft(addMembershipRequest(context, member.replica, request), {
				kind: 'join-requested',
				member,
			});
		}

		case 'initialise': {
			const {group, members} = input;
			return runRaft(addMembershipRequest(context, INITIALISE_KEY, request), {
				kind: 'initialised',
				group,
				members,
			});
		}
	}
}

function handleOrderAnswer(
	context: StepContext,
	event: Extract<ControlEvent, {kind: 'order-answered'}>,
): StepContext {
	const {order, outcome, detail} = event;
	if (outcome === 'accepted') {
		return context;
	}

	return updateLeaderState(context, (leaderState) => ({
		...leaderState,
		orders: {
			...leaderState.orders,
			entries: leaderState.orders.entries.map((entry) =>
				entry.order === order && entry.state === 'sent'
					? {...entry, state: 'refused', detail, at: context.now}
					: entry,
			),
		},
	}));
}

function handle(context: StepContext, event: ControlEvent): StepContext {
	switch (event.kind) {
		case 'ticked': {
			return runLeaderTasks(runRaft(context, {kind: 'ticked'}));
		}

		case 'received': {
			const {message} = event;
			return sendOrders(runRaft(context, {kind: 'received', message}));
		}

		case 'synced': {
			const {sequence} = event;
			return sendOrders(runRaft(context, {kind: 'synced', sequence}));
		}

		case 'requested': {
			return handleRequest(context, event.request, event.input);
		}

		case 'order-answered': {
			return handleOrderAnswer(context, event);
		}

		case 'transfer-requested': {
			return runRaft(context, {kind: 'transfer-requested'});
		}
	}
}

/** Processes one event; returns the next state and the effects to run. */
export function stepControl(
	state: ControlState,
	event: ControlEvent,
): Transition<ControlState, ControlEffect> {
	const {now, wall} = event;
	const context = finishStep(handle({now, wall, state, effects: []}, event));
	return createTransition(context.state, context.effects);
}
