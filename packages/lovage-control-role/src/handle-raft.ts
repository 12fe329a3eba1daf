import type {LogEntry, RaftEffect} from '@lovagevalve/consensus';
import {summarizeQuarantine} from '@lovagevalve/quarantine';
import {answerMembership, answerRead, failRead} from './answer-requests.js';
import type {
	ControlAnswer,
	ControlState,
	Leadership,
	WaitingCommand,
} from './control-types.js';
import {createLeaseTable} from './leases.js';
import type {
	LoggedCommand,
	MachineAnswer,
	MachineCommand,
} from './machine-types.js';
import {applyLogged, decodeMachine} from './machine.js';
import {createOrderBook} from './order-rights.js';
import {
	createNotLeader,
	emit,
	feedRaft,
	type RaftInput,
	respond,
	type Turn,
	update,
} from './turn.js';

function createResponse(
	{machine}: ControlState,
	to: WaitingCommand['to'],
	answer: MachineAnswer,
): ControlAnswer {
	if (to === 'report-deaths' && answer.kind === 'deaths-taken') {
		const quarantine = summarizeQuarantine(machine.quarantine);
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
	turn: Turn,
	entry: LogEntry,
	answer: MachineAnswer,
): Turn {
	const waiting = turn.state.waiting.get(entry.index);
	if (waiting === undefined) {
		return turn;
	}

	const next = update(turn, {waiting: turn.state.waiting.delete(entry.index)});
	if (waiting.request === undefined) {
		return next;
	}

	// Another leader's entry took the place of the command: it is lost.
	const isLost = waiting.term !== entry.term;
	const outcome: MachineAnswer = isLost ? {kind: 'none'} : answer;
	return respond(
		next,
		waiting.request,
		createResponse(next.state, waiting.to, outcome),
	);
}

function applyEntry(turn: Turn, entry: LogEntry): Turn {
	const {machine} = turn.state;
	if (entry.kind !== 'command') {
		const next = {...machine, appliedIndex: entry.index};
		return answerWaiting(update(turn, {machine: next}), entry, {kind: 'none'});
	}

	const logged = JSON.parse(entry.data) as LoggedCommand;
	const {state, answer} = applyLogged(machine, entry.index, logged);
	return answerWaiting(update(turn, {machine: state}), entry, answer);
}

function becomeLeader(turn: Turn, term: number): Turn {
	const {now, state} = turn;
	const holder = `${state.raft.replica}@${term}`;
	const leadership: Leadership = {
		term,
		leases: createLeaseTable(now),
		orders: createOrderBook(holder, now),
		claimsSeen: {},
		askOrdersAt: now,
		reviewAt: now,
	};
	return emit(update(turn, {leadership}), {kind: 'became-leader', term});
}

function stepDown(turn: Turn, term: number): Turn {
	const {waiting, reads} = turn.state;
	const cleared = update(turn, {
		leadership: undefined,
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

function acceptProposal(
	turn: Turn,
	proposal: string,
	index: number,
	term: number,
): Turn {
	const {proposing, waiting} = turn.state;
	return proposing?.proposal === proposal
		? update(turn, {
				proposing: undefined,
				waiting: waiting.set(index, {...proposing.command, term}),
			})
		: turn;
}

function refuseProposal(
	turn: Turn,
	effect: Extract<RaftEffect, {kind: 'proposal-refused'}>,
): Turn {
	const {proposing} = turn.state;
	const next = update(turn, {proposing: undefined});
	if (proposing?.command.request === undefined) {
		return next;
	}

	const {request, to} = proposing.command;
	const answer =
		effect.reason === 'not-leader'
			? createNotLeader(turn.state, effect.leader)
			: {kind: 'unavailable' as const};
	return respond(next, request, {to, answer});
}

function handleEffect(turn: Turn, effect: RaftEffect): Turn {
	switch (effect.kind) {
		case 'send':
		case 'persist':
		case 'persist-snapshot': {
			return emit(turn, effect);
		}

		case 'apply': {
			return effect.entries.reduce(applyEntry, turn);
		}

		case 'install-snapshot': {
			const {data, index} = effect.snapshot;
			const machine = {...decodeMachine(data), appliedIndex: index};
			return update(turn, {machine, snapshotIndex: index});
		}

		case 'proposal-accepted': {
			const {proposal, firstIndex, term} = effect;
			return acceptProposal(turn, proposal, firstIndex, term);
		}

		case 'proposal-refused': {
			return refuseProposal(turn, effect);
		}

		case 'read-confirmed': {
			return answerRead(turn, effect.read);
		}

		case 'read-refused': {
			const read = turn.state.reads.get(effect.read);
			const next = update(turn, {reads: turn.state.reads.delete(effect.read)});
			const answer =
				effect.reason === 'not-leader'
					? createNotLeader(turn.state, effect.leader)
					: {kind: 'unavailable' as const};
			return read === undefined ? next : failRead(next, read, answer);
		}

		case 'initialise-answered':
		case 'membership-answered': {
			return answerMembership(turn, effect);
		}

		case 'became-leader': {
			return becomeLeader(turn, effect.term);
		}

		case 'stepped-down': {
			return stepDown(turn, effect.term);
		}
	}
}

/** Feeds the replicated log and handles what comes of it. */
export function runRaft(turn: Turn, input: RaftInput): Turn {
	const fed = feedRaft(turn, input);
	return fed.effects.reduce(handleEffect, fed.turn);
}

/** Proposes a command; the answer follows when it is applied. */
export function propose(
	turn: Turn,
	command: MachineCommand,
	waiting: Omit<WaitingCommand, 'term'>,
): Turn {
	const {nextInternal} = turn.state;
	const proposal = `p${nextInternal}`;
	const logged: LoggedCommand = {at: turn.wall, command};
	const next = update(turn, {
		nextInternal: nextInternal + 1,
		proposing: {proposal, command: waiting},
	});
	return runRaft(next, {
		kind: 'proposed',
		proposal,
		commands: [JSON.stringify(logged)],
	});
}

/** Proposes a command of the instance itself. */
export function proposeInternal(turn: Turn, command: MachineCommand): Turn {
	return propose(turn, command, {to: 'claim'});
}
