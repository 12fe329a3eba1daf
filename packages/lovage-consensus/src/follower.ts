import {invariant} from '@lovagevalve/core';
import {commitUntil, readDurableIndex} from './commit.js';
import {findTerm, readLastIndex} from './log.js';
import type {AppendMessage} from './messages.js';
import {replaceTail, send, update, type Step} from './step.js';
import {becomeFollower, joinGroup, resetElectionTimer} from './term.js';

/** Tells the leader up to which index the durable log matches its own. */
export function acknowledgeAppend(step: Step): Step {
	const {role, hardState, writes, settings} = step.state;
	if (role.kind !== 'follower' || role.leader === undefined) {
		return step;
	}

	const isTermSynced = writes.syncedTerm === hardState.term;
	if (!isTermSynced && settings.guards.syncBeforeAcknowledge) {
		return step;
	}

	const {verifiedIndex, leaderRound} = step.state;
	return send(step, {
		kind: 'append-answer',
		to: role.leader,
		rejected: false,
		matchIndex: Math.min(verifiedIndex, readDurableIndex(step.state)),
		round: leaderRound,
	});
}

/** Follows the sender of a message that only the leader of its term sends. */
export function followLeader(
	step: Step,
	message: Readonly<{from: string; term: number; group: string}>,
): Step {
	const joined = joinGroup(step, message.group);
	const followed = becomeFollower(joined, message.term, message.from);
	return resetElectionTimer(update(followed, {leaderHeardAt: step.now}));
}

function rejectAppend(step: Step, message: AppendMessage): Step {
	const {log, commitIndex} = step.state;
	const lastIndex = readLastIndex(log);
	// The log of every later leader contains the committed entries.
	const retryIndex =
		message.previousIndex > lastIndex ? lastIndex : commitIndex;
	return send(step, {
		kind: 'append-answer',
		to: message.from,
		rejected: true,
		matchIndex: retryIndex,
		round: step.state.leaderRound,
	});
}

function appendMissingEntries(step: Step, message: AppendMessage): Step {
	const {log, commitIndex} = step.state;
	const firstMissing = message.entries.findIndex(
		({index, term}) => index > log.baseIndex && findTerm(log, index) !== term,
	);
	if (firstMissing === -1) {
		return step;
	}

	const entries = message.entries.slice(firstMissing);
	const truncateAfter = message.previousIndex + firstMissing;
	const keepsCommitted = truncateAfter >= commitIndex;
	invariant(keepsCommitted, 'append would overwrite committed entries');
	return replaceTail(step, truncateAfter, entries);
}

function hasPreviousEntry(step: Step, message: AppendMessage): boolean {
	const {log} = step.state;
	const {previousIndex, previousTerm} = message;
	return (
		previousIndex < log.baseIndex ||
		findTerm(log, previousIndex) === previousTerm
	);
}

/** Handles an append message: a heartbeat or new entries from the leader. */
export function receiveAppend(step: Step, message: AppendMessage): Step {
	const followed = followLeader(step, message);
	const updated = update(followed, {
		leaderRound: Math.max(followed.state.leaderRound, message.round),
	});
	if (!hasPreviousEntry(updated, message)) {
		return rejectAppend(updated, message);
	}

	const appended = appendMissingEntries(updated, message);
	const verifiedIndex = Math.max(
		appended.state.verifiedIndex,
		message.previousIndex + message.entries.length,
	);
	const commitIndex = Math.min(message.commitIndex, verifiedIndex);
	const next = commitUntil(update(appended, {verifiedIndex}), commitIndex);
	// New entries are acknowledged only after they are synced.
	return next.changedAfter === undefined ||
		!next.state.settings.guards.syncBeforeAcknowledge
		? acknowledgeAppend(next)
		: next;
}
