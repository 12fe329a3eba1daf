import type {RaftEffect, RefusalReason} from '@lovagevalve/consensus';
import {summarizeQuarantine} from '@lovagevalve/quarantine';
import type {
	LeaseAnswer,
	Leadership,
	ProgressReport,
	Redirect,
	WaitingRead,
} from './control-types.js';
import {isAlwaysGuarded} from './guards.js';
import {
	type EntryInfo,
	findOutstanding,
	isInForceEverywhere,
	recordLease,
} from './leases.js';
import {confirmHolder} from './order-rights.js';
import {
	createNotLeader,
	respond,
	type Turn,
	update,
	updateLeadership,
} from './turn.js';

type MembershipEffect = Extract<
	RaftEffect,
	{kind: 'initialise-answered' | 'membership-answered'}
>;

/** Reads under this prefix confirm the right to give orders. */
const HOLDER_READ = 'holder:';

/** Name of a read that began at `now` and confirms the right to give orders. */
export function createHolderRead(now: number): string {
	return `${HOLDER_READ}${now}`;
}

function listEntries(leadership: Leadership, now: number): EntryInfo[] {
	const newestLast = [...findOutstanding(leadership.leases, now)].toSorted(
		(a, b) => a.expiresAt - b.expiresAt,
	);
	const byId = new Map(newestLast.map(({entry}) => [entry.id, entry]));
	return [...byId.values()].toSorted((a, b) => (a.id < b.id ? -1 : 1));
}

function renew(
	turn: Turn,
	request: string,
	input: Extract<WaitingRead['input'], {kind: 'renew'}>,
): Turn {
	const {entry, appliedVersion, quarantineVersion, backends} = input;
	const {settings, machine} = turn.state;
	const next = updateLeadership(turn, (leadership) => ({
		...leadership,
		leases: recordLease(
			leadership.leases,
			{entry, appliedVersion, backends},
			settings.lease,
			turn.now,
		),
	}));
	const {leadership} = next.state;
	if (leadership === undefined) {
		return respond(next, request, {
			to: 'renew',
			answer: {kind: 'unavailable'},
		});
	}

	const isCurrent = appliedVersion === machine.version;
	const answer: LeaseAnswer = {
		kind: 'granted',
		leaseMs: settings.lease.leaseMs,
		version: machine.version,
		configuration: isCurrent ? undefined : machine.configuration,
		entries: listEntries(leadership, turn.now),
		quarantine:
			quarantineVersion === machine.quarantine.version
				? undefined
				: summarizeQuarantine(machine.quarantine),
	};
	return respond(next, request, {to: 'renew', answer});
}

function reportProgress(turn: Turn): ProgressReport | Redirect {
	const {leadership, machine, settings} = turn.state;
	if (leadership === undefined) {
		return {kind: 'unavailable'};
	}

	const {leases} = leadership;
	return {
		kind: 'progress',
		version: machine.version,
		inForceEverywhere: isInForceEverywhere(leases, machine.version, {
			terms: settings.lease,
			now: turn.now,
			isGuarded: isAlwaysGuarded,
		}),
		entries: Object.values(leases.leases).map((lease) => ({
			entry: lease.entry,
			appliedVersion: lease.appliedVersion,
			leaseRemainingMs: Math.max(0, Math.ceil(lease.expiresAt - turn.now)),
		})),
	};
}

function confirmOrders(turn: Turn, read: string): Turn {
	const startedAt = Number(read.slice(HOLDER_READ.length));
	return updateLeadership(turn, (leadership) => ({
		...leadership,
		orders: confirmHolder(leadership.orders, startedAt),
	}));
}

/** Answers the request of a read that the quorum has confirmed. */
export function answerRead(turn: Turn, read: string): Turn {
	if (read.startsWith(HOLDER_READ)) {
		return confirmOrders(turn, read);
	}

	const waiting = turn.state.reads.get(read);
	if (waiting === undefined) {
		return turn;
	}

	const {request, input} = waiting;
	const next = update(turn, {reads: turn.state.reads.delete(read)});
	switch (input.kind) {
		case 'renew': {
			return renew(next, request, input);
		}

		case 'read-configuration': {
			const {version, configuration} = next.state.machine;
			return respond(next, request, {
				to: 'read-configuration',
				answer: {kind: 'read', version, configuration},
			});
		}

		case 'progress': {
			const answer = reportProgress(next);
			return respond(next, request, {to: 'progress', answer});
		}
	}
}

/** Answers the request of a read that can't be confirmed here. */
export function failRead(
	turn: Turn,
	{request, input}: WaitingRead,
	answer: Redirect,
): Turn {
	return respond(turn, request, {to: input.kind, answer});
}

function describeRefusal(reason: RefusalReason): string {
	switch (reason) {
		case 'busy': {
			return 'Another membership change is under way; ask again.';
		}

		case 'name-in-use': {
			return 'A member of this name is alive.';
		}

		case 'overloaded': {
			return 'The group has as many members as it may have.';
		}

		case 'invalid':
		case 'not-leader': {
			return 'The instance belongs to no group that could take it in.';
		}
	}
}

function answerJoin(
	turn: Turn,
	request: string,
	effect: Extract<MembershipEffect, {kind: 'membership-answered'}>,
): Turn {
	const {outcome, leader} = effect;
	if (outcome === 'taken') {
		return respond(turn, request, {to: 'join', answer: {kind: 'taken'}});
	}

	const answer =
		outcome === 'not-leader'
			? createNotLeader(turn.state, leader)
			: {kind: 'refused' as const, reason: describeRefusal(outcome)};
	return respond(turn, request, {to: 'join', answer});
}

/** Key of the requests to found a group. */
export const FOUNDING = 'founding';

/** Answers the requests that wait for a change of the membership. */
export function answerMembership(turn: Turn, effect: MembershipEffect): Turn {
	const key = effect.kind === 'initialise-answered' ? FOUNDING : effect.replica;
	const requests = turn.state.joins.get(key) ?? [];
	const next = update(turn, {joins: turn.state.joins.delete(key)});
	return requests.reduce((current, request) => {
		if (effect.kind === 'membership-answered') {
			return answerJoin(current, request, effect);
		}

		return respond(current, request, {
			to: 'initialise',
			answer:
				effect.outcome === 'invalid'
					? {kind: 'refused', reason: 'The instance belongs to another group.'}
					: {kind: 'initialised'},
		});
	}, next);
}
