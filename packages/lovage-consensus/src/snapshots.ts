import {commitUntil} from './commit.js';
import {acknowledgeAppend, followLeader} from './follower.js';
import {compactLog, createLog, findTerm, readMembersAt} from './log.js';
import type {SnapshotAnswerMessage, SnapshotMessage} from './messages.js';
import {
	findLeaderRole,
	sendSnapshotPiece,
	updateProgress,
} from './replication.js';
import {emit, send, storeSnapshot, update, type Step} from './step.js';
import type {Snapshot} from './types.js';

/** Stores a snapshot of the state machine and compacts the log that it covers. */
export function takeSnapshot(step: Step, index: number, data: string): Step {
	const {log, snapshot, appliedIndex, settings} = step.state;
	const term = findTerm(log, index);
	const isNewer = index > (snapshot?.index ?? 0);
	if (!isNewer || index > appliedIndex || term === undefined) {
		return step;
	}

	const members = readMembersAt(log, index);
	const stored = storeSnapshot(step, {index, term, members, data}, false);
	const compactIndex = index - settings.trailingEntries;
	return update(stored, {log: compactLog(log, compactIndex)});
}

function commitHeldSnapshot(step: Step, index: number): Step {
	const verifiedIndex = Math.max(step.state.verifiedIndex, index);
	const verified = update(step, {verifiedIndex, incoming: undefined});
	return acknowledgeAppend(commitUntil(verified, index));
}

function installSnapshot(step: Step, snapshot: Snapshot): Step {
	const stored = storeSnapshot(step, snapshot, true);
	const next = update(stored, {
		log: createLog(snapshot, []),
		commitIndex: snapshot.index,
		appliedIndex: snapshot.index,
		verifiedIndex: snapshot.index,
		incoming: undefined,
	});
	return emit(next, {kind: 'install-snapshot', snapshot});
}

type IncomingSnapshot = NonNullable<Step['state']['incoming']>;

function resumeOrStartIncoming(
	step: Step,
	message: SnapshotMessage,
): IncomingSnapshot {
	const {incoming} = step.state;
	const isSameSnapshot =
		incoming?.index === message.index && incoming.term === message.lastTerm;
	return isSameSnapshot
		? incoming
		: {index: message.index, term: message.lastTerm, length: 0, pieces: []};
}

function receivePiece(step: Step, message: SnapshotMessage): Step {
	const received = resumeOrStartIncoming(step, message);
	const isNext = message.offset === received.length;
	const incoming: IncomingSnapshot = isNext
		? {
				...received,
				length: received.length + message.data.length,
				pieces: [...received.pieces, message.data],
			}
		: received;
	if (isNext && message.isLast) {
		return installSnapshot(step, {
			index: message.index,
			term: message.lastTerm,
			members: message.members,
			data: incoming.pieces.join(''),
		});
	}

	return send(update(step, {incoming}), {
		kind: 'snapshot-answer',
		to: message.from,
		index: message.index,
		offset: incoming.length,
	});
}

/** Handles a piece of the leader's snapshot. */
export function receiveSnapshot(step: Step, message: SnapshotMessage): Step {
	const followed = followLeader(step, message);
	const {log, commitIndex} = followed.state;
	const isAlreadyHeld =
		message.index <= commitIndex ||
		findTerm(log, message.index) === message.lastTerm;
	return isAlreadyHeld
		? commitHeldSnapshot(followed, message.index)
		: receivePiece(followed, message);
}

/** Sends the snapshot piece that a replica requests. */
export function receiveSnapshotAnswer(
	step: Step,
	message: SnapshotAnswerMessage,
): Step {
	const updated = updateProgress(step, message.from, {heardAt: step.now});
	const progress = findLeaderRole(updated.state)?.progress[message.from];
	const {snapshot} = updated.state;
	if (progress?.snapshot === undefined || snapshot === undefined) {
		return updated;
	}

	const isSameSnapshot = message.index === snapshot.index;
	const offset = isSameSnapshot ? message.offset : 0;
	const isAlreadySent =
		progress.snapshot.index === snapshot.index &&
		progress.snapshot.offset === offset;
	return isAlreadySent
		? updated
		: sendSnapshotPiece(updated, message.from, snapshot, offset);
}
