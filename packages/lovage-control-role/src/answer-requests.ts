import type {RaftEffect, RefusalReason} from '@lovagevalve/consensus';
import {summarizeQuarantine} from '@lovagevalve/quarantine';
import type {
	LeaseAnswer,
	LeaderState,
	ProgressReport,
	RequestFailure,
	WaitingRead,
} from './control-types.js';
import {areAllGuardsEnabled} from './guards.js';
import {
	type EntryInfo,
	listActiveLeases,
	isInForceEverywhere,
	recordLease,
} from './leases.js';
import {recordConfirmedRead} from './order-rights.js';
import {
	createNotLeaderAnswer,
	respond,
	type StepContext,
	update,
	updateLeaderState,
} from './step-context.js';

type MembershipEffect = Extract<
	RaftEffect,
	{kind: 'initialise-answered' | 'membership-answered'}
>;

/** Id prefix of reads that confirm that this leader holds the order grant. */
const HOLDER_READ_PREFIX = 'holder:';

/** Creates the id of a read started at `now` that confirms the order grant. */
export function createHolderReadId(now: number): string {
	return `${HOLDER_READ_PREFIX}${now}`;
}

function listEntries(leaderState: LeaderState, now: number): EntryInfo[] {
	const sortedByExpiry = [
		...listActiveLeases(leaderState.leases, now),
	].toSorted((a, b) => a.expiresAt - b.expiresAt);
	const byId = new Map(sortedByExpiry.map(({entry}) => [entry.id, entry]));
	return [...byId.values()].toSorted((a, b) => (a.id < b.id ? -1 : 1));
}

function renewLease(
	context: StepContext,
	request: string,
	input: Extract<WaitingRead['input'], {kind: 'renew'}>,
): StepContext {
	const {entry, appliedVersion, quarantineVersion, backends} = input;
	const {settings, stateMachine} = context.state;
	const next = updateLeaderState(context, (leaderState) => ({
		...leaderState,
		leases: recordLease(
			leaderState.leases,
			{entry, appliedVersion, backends},
			settings.lease,
			context.now,
		),
	}));
	const {leaderState} = next.state;
	if (leaderState === undefined) {
		return respond(next, request, {
			to: 'renew',
			answer: {kind: 'unavailable'},
		});
	}

	const isCurrent = appliedVersion === stateMachine.version;
	const answer: LeaseAnswer = {
		kind: 'granted',
		leaseMs: settings.lease.leaseMs,
		version: stateMachine.version,
		configuration: isCurrent ? undefined : stateMachine.configuration,
		entries: listEntries(leaderState, context.now),
		quarantine:
			quarantineVersion === stateMachine.quarantine.version
				? undefined
				: summarizeQuarantine(stateMachine.quarantine),
	};
	return respond(next, request, {to: 'renew', answer});
}

function reportProgress(context: StepContext): ProgressReport | RequestFailure {
	const {leaderState, stateMachine, settings} = context.state;
	if (leaderState === undefined) {
		return {kind: 'unavailable'};
	}

	const {leases} = leaderState;
	return {
		kind: 'progress',
		version: stateMachine.version,
		inForceEverywhere: isInForceEverywhere(leases, stateMachine.version, {
			settings: settings.lease,
			now: context.now,
			isGuarded: areAllGuardsEnabled,
		}),
		entries: Object.values(leases.leases).map((lease) => ({
			entry: lease.entry,
			appliedVersion: lease.appliedVersion,
			leaseRemainingMs: Math.max(0, Math.ceil(lease.expiresAt - context.now)),
		})),
	};
}

function handleHolderRead(context: StepContext, read: string): StepContext {
	const startedAt = Number(read.slice(HOLDER_READ_PREFIX.length));
	return updateLeaderState(context, (leaderState) => ({
		...leaderState,
		orders: recordConfirmedRead(leaderState.orders, startedAt),
	}));
}

/** Handles a read that the quorum has confirmed and answers its request. */
export function answerRead(context: StepContext, read: string): StepContext {
	if (read.startsWith(HOLDER_READ_PREFIX)) {
		return handleHolderRead(context, read);
	}

	const waiting = context.state.reads.get(read);
	if (waiting === undefined) {
		return context;
	}

	const {request, input} = waiting;
	const next = update(context, {reads: context.state.reads.delete(read)});
	switch (input.kind) {
		case 'renew': {
			return renewLease(next, request, input);
		}

		case 'read-configuration': {
			const {version, configuration} = next.state.stateMachine;
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

/** Answers the request of a read that was not confirmed. */
export function failRead(
	context: StepContext,
	{request, input}: WaitingRead,
	answer: RequestFailure,
): StepContext {
	return respond(context, request, {to: input.kind, answer});
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
	context: StepContext,
	request: string,
	effect: Extract<MembershipEffect, {kind: 'membership-answered'}>,
): StepContext {
	const {outcome, leader} = effect;
	if (outcome === 'taken') {
		return respond(context, request, {to: 'join', answer: {kind: 'taken'}});
	}

	const answer =
		outcome === 'not-leader'
			? createNotLeaderAnswer(context.state, leader)
			: {kind: 'refused' as const, reason: describeRefusal(outcome)};
	return respond(context, request, {to: 'join', answer});
}

/** Key of `initialise` requests in `ControlState.joins`. */
export const INITIALISE_KEY = 'founding';

/** Answers the requests that wait for a membership change. */
export function answerMembership(
	context: StepContext,
	effect: MembershipEffect,
): StepContext {
	const key =
		effect.kind === 'initialise-answered' ? INITIALISE_KEY : effect.replica;
	const requests = context.state.joins.get(key) ?? [];
	const next = update(context, {joins: context.state.joins.delete(key)});
	return requests.reduce((current, request) => {
		if (effect.kind === 'membership-answered') {
			return answerJoin(current, request, effect);
		}

		return respond(current, request, {
			to: 'initialise',
			answer:
				effect.outcome === 'invalid'
					? {
							kind: 'refused',
							reason: 'The instance belongs to another group.',
						}
					: {kind: 'initialised'},
		});
	}, next);
}
