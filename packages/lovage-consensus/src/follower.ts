import {invariant} from '@lovagevalve/core';
import {commitUntil, readStoredIndex} from './commit.js';
import {findTerm, readLastIndex} from './log.js';
import type {AppendMessage} from './messages.js';
import {becomeFollower, joinGroup, resetElection} from './term.js';
import {replaceTail, send, update, type Turn} from './turn.js';

/** Tells the leader how far the stored log is equal to its own. */
export function acknowledge(turn: Turn): Turn {
	const {role, hardState, writes, settings} = turn.state;
	if (role.kind !== 'follower' || role.leader === undefined) {
		return turn;
	}

	const isTermSynced = writes.syncedTerm === hardState.term;
	if (!isTermSynced && settings.guards.syncBeforeAcknowledge) {
		return turn;
	}

	const {verifiedIndex, leaderRound} = turn.state;
	return send(turn, {
		kind: 'append-answer',
		to: role.leader,
		rejected: false,
		matchIndex: Math.min(verifiedIndex, readStoredIndex(turn.state)),
		round: leaderRound,
	});
}

/** Follows the sender of a message of the current term that only leaders send. */
export function followLeader(
	turn: Turn,
	message: Readonly<{from: string; term: number; group: string}>,
): Turn {
	const joined = joinGroup(turn, message.group);
	const followed = becomeFollower(joined, message.term, message.from);
	return resetElection(update(followed, {leaderHeardAt: turn.now}));
}

function reject(turn: Turn, message: AppendMessage): Turn {
	const {log, commitIndex} = turn.state;
	const lastIndex = readLastIndex(log);
	// The committed part is equal to every later leader's log.
	const hint = message.previousIndex > lastIndex ? lastIndex : commitIndex;
	return send(turn, {
		kind: 'append-answer',
		to: message.from,
		rejected: true,
		matchIndex: hint,
		round: turn.state.leaderRound,
	});
}

function addEntries(turn: Turn, message: AppendMessage): Turn {
	const {log, commitIndex} = turn.state;
	const firstNew = message.entries.findIndex(
		({index, term}) => index > log.baseIndex && findTerm(log, index) !== term,
	);
	if (firstNew === -1) {
		return turn;
	}

	const entries = message.entries.slice(firstNew);
	const after = message.previousIndex + firstNew;
	const isSafe = after >= commitIndex;
	invariant(isSafe, 'a leader would replace committed entries');
	return replaceTail(turn, after, entries);
}

function isMatch(turn: Turn, message: AppendMessage): boolean {
	const {log} = turn.state;
	const {previousIndex, previousTerm} = message;
	return (
		previousIndex < log.baseIndex ||
		findTerm(log, previousIndex) === previousTerm
	);
}

/** Takes a heartbeat or entries from a leader. */
export function receiveAppend(turn: Turn, message: AppendMessage): Turn {
	const followed = followLeader(turn, message);
	const heard = update(followed, {
		leaderRound: Math.max(followed.state.leaderRound, message.round),
	});
	if (!isMatch(heard, message)) {
		return reject(heard, message);
	}

	const added = addEntries(heard, message);
	const verifiedIndex = Math.max(
		added.state.verifiedIndex,
		message.previousIndex + message.entries.length,
	);
	const commitIndex = Math.min(message.commitIndex, verifiedIndex);
	const next = commitUntil(update(added, {verifiedIndex}), commitIndex);
	// New entries are acknowledged when they are synced.
	return next.changedAfter === undefined ||
		!next.state.settings.guards.syncBeforeAcknowledge
		? acknowledge(next)
		: next;
}
