import {advanceCommit} from './commit.js';
import {readLastIndex, readMembership} from './log.js';
import {isQuorum, isVoter, readOthers} from './members.js';
import {advanceMembership} from './membership-changes.js';
import type {AppendAnswerMessage} from './messages.js';
import {confirmReads} from './reads.js';
import {
	createProgress,
	findLeaderRole,
	replicate,
	replicateAll,
	sendHeartbeats,
	updateProgress,
} from './replication.js';
import {appendToLog, emit, send, update, type Step} from './step.js';
import {becomeFollower} from './term.js';
import {advanceTransfer} from './transfer.js';

function stepDownIfRemoved(step: Step): Step {
	const {state} = step;
	const {index, members} = readMembership(state.log);
	const isCommitted = index <= state.commitIndex;
	if (findLeaderRole(state) === undefined || isVoter(state) || !isCommitted) {
		return step;
	}

	const successor = members.find(({voter}) => voter);
	const notified =
		successor === undefined
			? step
			: send(sendHeartbeats(step), {
					kind: 'timeout-now',
					to: successor.replica,
				});
	return becomeFollower(notified, state.hardState.term);
}

/**
 * Advances everything that a synced write or an answer can unblock: the commit
 * index, pending reads and membership changes.
 */
export function advanceLeader(step: Step): Step {
	const confirmed = confirmReads(advanceCommit(step));
	return stepDownIfRemoved(advanceMembership(confirmed));
}

/** Becomes the leader of the current term and appends a no-op entry. */
export function becomeLeader(step: Step): Step {
	const {state, now} = step;
	const {term} = state.hardState;
	const firstIndex = readLastIndex(state.log) + 1;
	const progress = Object.fromEntries(
		readOthers(state).map((replica) => [replica, createProgress(state, now)]),
	);
	const leading = update(step, {
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
	const appended = appendToLog(leading, [
		{kind: 'noop', index: firstIndex, term},
	]);
	const announced = emit(appended, {kind: 'became-leader', term});
	return advanceLeader(replicateAll(announced));
}

function receiveRejection(step: Step, message: AppendAnswerMessage): Step {
	const progress = findLeaderRole(step.state)?.progress[message.from];
	if (progress === undefined || progress.snapshot !== undefined) {
		return step;
	}

	const nextIndex = Math.max(progress.matchIndex, message.matchIndex) + 1;
	if (nextIndex >= progress.nextIndex) {
		return step;
	}

	const patch = {nextIndex, inflight: []};
	return replicate(updateProgress(step, message.from, patch), message.from);
}

function receiveMatch(step: Step, message: AppendAnswerMessage): Step {
	const progress = findLeaderRole(step.state)?.progress[message.from];
	if (progress === undefined) {
		return step;
	}

	const lastIndex = readLastIndex(step.state.log);
	const acknowledged = Math.min(message.matchIndex, lastIndex);
	const matchIndex = Math.max(progress.matchIndex, acknowledged);
	const {snapshot} = progress;
	const isInstalled = snapshot !== undefined && matchIndex >= snapshot.index;
	const matched = updateProgress(step, message.from, {
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

/** Handles a replica's answer to an append. */
export function receiveAppendAnswer(
	step: Step,
	message: AppendAnswerMessage,
): Step {
	const progress = findLeaderRole(step.state)?.progress[message.from];
	if (progress === undefined) {
		return step;
	}

	const updated = updateProgress(step, message.from, {
		heardAt: step.now,
		round: Math.max(progress.round, message.round),
	});
	return message.rejected
		? confirmReads(receiveRejection(updated, message))
		: receiveMatch(updated, message);
}

/** Steps down when no quorum has answered within the election timeout. */
export function checkQuorum(step: Step): Step {
	const {state, now} = step;
	const role = findLeaderRole(state);
	const {electionTimeoutMs, guards} = state.settings;
	if (role === undefined || !guards.checkQuorum) {
		return step;
	}

	const hasQuorum = isQuorum(state, (replica) => {
		const heardAt = role.progress[replica]?.heardAt;
		return (
			replica === state.replica ||
			(heardAt !== undefined && now - heardAt < electionTimeoutMs)
		);
	});
	return hasQuorum ? step : becomeFollower(step, state.hardState.term);
}
