import {advanceMembership} from './changes.js';
import {advanceCommit} from './commit.js';
import {readLastIndex, readMembership} from './log.js';
import {isQuorum, isVoter, readOthers} from './members.js';
import type {AppendAnswerMessage} from './messages.js';
import {settleReads} from './reads.js';
import {
	createProgress,
	findLeaderRole,
	replicate,
	replicateAll,
	sendHeartbeats,
	updateProgress,
} from './replication.js';
import {becomeFollower} from './term.js';
import {advanceTransfer} from './transfer.js';
import {appendOwn, emit, send, update, type Turn} from './turn.js';

function resignIfRemoved(turn: Turn): Turn {
	const {state} = turn;
	const {index, members} = readMembership(state.log);
	const isCommitted = index <= state.commitIndex;
	if (findLeaderRole(state) === undefined || isVoter(state) || !isCommitted) {
		return turn;
	}

	const successor = members.find(({voter}) => voter);
	const notified =
		successor === undefined
			? turn
			: send(sendHeartbeats(turn), {
					kind: 'timeout-now',
					to: successor.replica,
				});
	return becomeFollower(notified, state.hardState.term);
}

/** Does all that a leader may do after a write or an answer arrived. */
export function advanceLeader(turn: Turn): Turn {
	const settled = settleReads(advanceCommit(turn));
	return resignIfRemoved(advanceMembership(settled));
}

/** Begins the lead of the current term with an entry of its own. */
export function becomeLeader(turn: Turn): Turn {
	const {state, now} = turn;
	const {term} = state.hardState;
	const firstIndex = readLastIndex(state.log) + 1;
	const progress = Object.fromEntries(
		readOthers(state).map((replica) => [replica, createProgress(state, now)]),
	);
	const led = update(turn, {
		role: {
			kind: 'leader',
			progress,
			heartbeatAt: now + state.settings.heartbeatIntervalMs,
			firstIndex,
			round: 0,
			reads: [],
			caughtUpIndex: firstIndex,
		},
	});
	const appended = appendOwn(led, [{kind: 'noop', index: firstIndex, term}]);
	const begun = emit(appended, {kind: 'became-leader', term});
	return advanceLeader(replicateAll(begun));
}

function receiveRejection(turn: Turn, message: AppendAnswerMessage): Turn {
	const progress = findLeaderRole(turn.state)?.progress[message.from];
	if (progress === undefined || progress.snapshot !== undefined) {
		return turn;
	}

	const nextIndex = Math.max(progress.matchIndex, message.matchIndex) + 1;
	if (nextIndex >= progress.nextIndex) {
		return turn;
	}

	const patch = {nextIndex, inflight: []};
	return replicate(updateProgress(turn, message.from, patch), message.from);
}

function receiveMatch(turn: Turn, message: AppendAnswerMessage): Turn {
	const progress = findLeaderRole(turn.state)?.progress[message.from];
	if (progress === undefined) {
		return turn;
	}

	const lastIndex = readLastIndex(turn.state.log);
	const acknowledged = Math.min(message.matchIndex, lastIndex);
	const matchIndex = Math.max(progress.matchIndex, acknowledged);
	const {snapshot} = progress;
	const isInstalled = snapshot !== undefined && matchIndex >= snapshot.index;
	const matched = updateProgress(turn, message.from, {
		matchIndex,
		nextIndex: isInstalled
			? matchIndex + 1
			: Math.max(progress.nextIndex, matchIndex + 1),
		inflight: progress.inflight.filter((index) => index > matchIndex),
		snapshot: isInstalled ? undefined : snapshot,
	});
	const advanced = advanceLeader(matched);
	const replicated = replicate(advanced, message.from);
	return matchIndex > progress.matchIndex
		? advanceTransfer(replicated)
		: replicated;
}

/** Takes the answer of a replica to an append. */
export function receiveAppendAnswer(
	turn: Turn,
	message: AppendAnswerMessage,
): Turn {
	const progress = findLeaderRole(turn.state)?.progress[message.from];
	if (progress === undefined) {
		return turn;
	}

	const heard = updateProgress(turn, message.from, {
		heardAt: turn.now,
		round: Math.max(progress.round, message.round),
	});
	return message.rejected
		? settleReads(receiveRejection(heard, message))
		: receiveMatch(heard, message);
}

/** Steps down when no quorum answered within an election timeout. */
export function checkQuorum(turn: Turn): Turn {
	const {state, now} = turn;
	const role = findLeaderRole(state);
	const {electionTimeoutMs, guards} = state.settings;
	if (role === undefined || !guards.checkQuorum) {
		return turn;
	}

	const isHeard = isQuorum(state, (replica) => {
		const heardAt = role.progress[replica]?.heardAt;
		return (
			replica === state.replica ||
			(heardAt !== undefined && now - heardAt < electionTimeoutMs)
		);
	});
	return isHeard ? turn : becomeFollower(turn, state.hardState.term);
}
