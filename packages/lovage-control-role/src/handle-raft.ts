import type {LogEntry, RaftEffect} from '@lovagevalve/consensus';
import {summarizeQuarantine} from '@lovagevalve/quarantine';
import {answerMembership, answerRead, failRead} from './answer-requests.js';
import type {
	ControlAnswer,
	ControlState,
	LeaderState,
	WaitingCommand,
} from './control-types.js';
import {createLeaseTable} from './leases.js';
import type {
	LoggedCommand,
	CommandResult,
	StateMachineCommand,
} from './state-machine-types.js';
import {applyLoggedCommand, decodeStateMachine} from './state-machine.js';
import {createOrderTracker} from './order-rights.js';
import {
	createNotLeaderAnswer,
	emit,
	applyRaftInput,
	type RaftInput,
	respond,
	type StepContext,
	update,
} from './step-context.js';

function createResponse(
	{stateMachine}: ControlState,
	to: WaitingCommand['to'],
	answer: CommandResult,
): ControlAnswer {
	if (to === 'report-deaths' && answer.kind === 'deaths-taken') {
		const quarantine = summarizeQuarantine(stateMachine.quarantine);
		return {to, answer: {kind: 'taken', quarantine}};
	}

	if (to === 'apply' && answer.kind === 'applied') {
		return {to, answer: answer.outcome};
	}

	return to === 'claim' && answer.kind === 'claim'
		? {to, answer: answer.answer}
		: {to, answer: {kind: 'unavailable'}};
}

function answerWaiting(
	context: StepContext,
	entry: LogEntry,
	answer: CommandResult,
): StepContext {
	const waiting = context.state.waiting.get(entry.index);
	if (waiting === undefined) {
		return context;
	}

	const next = update(context, {
		waiting: context.state.waiting.delete(entry.index),
	});
	if (waiting.request === undefined) {
		return next;
	}

	// An entry of another leader replaced the command at this index.
	const isLost = waiting.term !== entry.term;
	const outcome: CommandResult = isLost ? {kind: 'none'} : answer;
	return respond(
		next,
		waiting.request,
		createResponse(next.state, waiting.to, outcome),
	);
}

function applyEntry(context: StepContext, entry: LogEntry): StepContext {
	const {stateMachine} = context.state;
	if (entry.kind !== 'command') {
		const next = {...stateMachine, appliedIndex: entry.index};
		return answerWaiting(update(context, {stateMachine: next}), entry, {
			kind: 'none',
		});
	}

	const logged = JSON.parse(entry.data) as LoggedCommand;
	const {state, answer} = applyLoggedCommand(stateMachine, entry.index, logged);
	return answerWaiting(update(context, {stateMachine: state}), entry, answer);
}

function handleBecameLeader(context: StepContext, term: number): StepContext {
	const {now, state} = context;
	const holder = `${state.raft.replica}@${term}`;
	const leaderState: LeaderState = {
		term,
		leases: createLeaseTable(now),
		orders: createOrderTracker(holder, now),
		claimsFirstSeenAt: {},
		nextGrantRequestAt: now,
		nextTasksAt: now,
	};
	return emit(update(context, {leaderState}), {kind: 'became-leader', term});
}

function handleSteppedDown(context: StepContext, term: number): StepContext {
	const {waiting, reads} = context.state;
	const cleared = update(context, {
		leaderState: undefined,
		waiting: waiting.clear(),
		reads: reads.clear(),
	});
	const unanswered = [...waiting.values()].reduce(
		(next, {request, to}) =>
			request === undefined
				? next
				: respond(next, request, {to, answer: {kind: 'unavailable'}}),
		cleared,
	);
	const failed = [...reads.values()].reduce(
		(next, read) => failRead(next, read, {kind: 'unavailable'}),
		unanswered,
	);
	return emit(failed, {kind: 'stepped-down', term});
}

function handleAcceptedProposal(
	context: StepContext,
	proposal: string,
	index: number,
	term: number,
): StepContext {
	const {pendingProposal, waiting} = context.state;
	return pendingProposal?.proposal === proposal
		? update(context, {
				pendingProposal: undefined,
				waiting: waiting.set(index, {...pendingProposal.command, term}),
			})
		: context;
}

function handleRefusedProposal(
	context: StepContext,
	effect: Extract<RaftEffect, {kind: 'proposal-refused'}>,
): StepContext {
	const {pendingProposal} = context.state;
	const next = update(context, {pendingProposal: undefined});
	if (pendingProposal?.command.request === undefined) {
		return next;
	}

	const {request, to} = pendingProposal.command;
	const answer =
		effect.reason === 'not-leader'
			? createNotLeaderAnswer(context.state, effect.leader)
			: {kind: 'unavailable' as const};
	return respond(next, request, {to, answer});
}

function handleEffect(context: StepContext, effect: RaftEffect): StepContext {
	switch (effect.kind) {
		case 'send':
		case 'persist':
		case 'persist-snapshot': {
			return emit(context, effect);
		}

		case 'apply': {
			return effect.entries.reduce(applyEntry, context);
		}

		case 'install-snapshot': {
			const {data, index} = effect.snapshot;
			const stateMachine = {...decodeStateMachine(data), appliedIndex: index};
			return update(context, {stateMachine, snapshotIndex: index});
		}

		case 'proposal-accepted': {
			const {proposal, firstIndex, term} = effect;
			return handleAcceptedProposal(context, proposal, firstIndex, term);
		}

		case 'proposal-refused': {
			return handleRefusedProposal(context, effect);
		}

		case 'read-confirmed': {
			return answerRead(context, effect.read);
		}

		case 'read-refused': {
			const read = context.state.reads.get(effect.read);
			const next = update(context, {
				reads: context.state.reads.delete(effect.read),
			});
			const answer =
				effect.reason === 'not-leader'
					? createNotLeaderAnswer(context.state, effect.leader)
					: {kind: 'unavailable' as const};
			return read === undefined ? next : failRead(next, read, answer);
		}

		case 'initialise-answered':
		case 'membership-answered': {
			return answerMembership(context, effect);
		}

		case 'became-leader': {
			return handleBecameLeader(context, effect.term);
		}

		case 'stepped-down': {
			return handleSteppedDown(context, effect.term);
		}
	}
}

/** Steps Raft and handles its effects. */
export function runRaft(context: StepContext, input: RaftInput): StepContext {
	const result = applyRaftInput(context, input);
	return result.effects.reduce(handleEffect, result.context);
}

/** Proposes a command; its request is answered once the command is applied. */
export function propose(
	context: StepContext,
	command: StateMachineCommand,
	waiting: Omit<WaitingCommand, 'term'>,
): StepContext {
	const {nextProposal} = context.state;
	const proposal = `p${nextProposal}`;
	const logged: LoggedCommand = {at: context.wall, command};
	const next = update(context, {
		nextProposal: nextProposal + 1,
		pendingProposal: {proposal, command: waiting},
	});
	return runRaft(next, {
		kind: 'proposed',
		proposal,
		commands: [JSON.stringify(logged)],
	});
}

/** Proposes a command that no request waits for. */
export function proposeInternal(
	context: StepContext,
	command: StateMachineCommand,
): StepContext {
	return propose(context, command, {to: 'claim'});
}
