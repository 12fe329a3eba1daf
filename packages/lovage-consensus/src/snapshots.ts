import {commitUntil} from './commit.js';
import {acknowledge, followLeader} from './follower.js';
import {compactLog, createLog, findTerm, readMembersAt} from './log.js';
import type {SnapshotAnswerMessage, SnapshotMessage} from './messages.js';
import {
	findLeaderRole,
	sendSnapshotPiece,
	updateProgress,
} from './replication.js';
import {emit, send, storeSnapshot, update, type Turn} from './turn.js';
import type {Snapshot} from './types.js';

/** Keeps an image of the state machine in place of the entries that it covers. */
export function takeSnapshot(turn: Turn, index: number, data: string): Turn {
	const {log, snapshot, appliedIndex, settings} = turn.state;
	const term = findTerm(log, index);
	const isNewer = index > (snapshot?.index ?? 0);
	if (!isNewer || index > appliedIndex || term === undefined) {
		return turn;
	}

	const members = readMembersAt(log, index);
	const stored = storeSnapshot(turn, {index, term, members, data}, false);
	const keepAfter = index - settings.trailingEntries;
	return update(stored, {log: compactLog(log, keepAfter)});
}

function verifyCommitted(turn: Turn, index: number): Turn {
	const verifiedIndex = Math.max(turn.state.verifiedIndex, index);
	const verified = update(turn, {verifiedIndex, incoming: undefined});
	return acknowledge(commitUntil(verified, index));
}

function install(turn: Turn, snapshot: Snapshot): Turn {
	const stored = storeSnapshot(turn, snapshot, true);
	const next = update(stored, {
		log: createLog(snapshot, []),
		commitIndex: snapshot.index,
		appliedIndex: snapshot.index,
		verifiedIndex: snapshot.index,
		incoming: undefined,
	});
	return emit(next, {kind: 'install-snapshot', snapshot});
}

type Incoming = NonNullable<Turn['state']['incoming']>;

function readIncoming(turn: Turn, message: SnapshotMessage): Incoming {
	const {incoming} = turn.state;
	const isSame =
		incoming?.index === message.index && incoming.term === message.lastTerm;
	return isSame
		? incoming
		: {index: message.index, term: message.lastTerm, length: 0, pieces: []};
}

function addPiece(turn: Turn, message: SnapshotMessage): Turn {
	const known = readIncoming(turn, message);
	const isNext = message.offset === known.length;
	const incoming: Incoming = isNext
		? {
				...known,
				length: known.length + message.data.length,
				pieces: [...known.pieces, message.data],
			}
		: known;
	if (isNext && message.isLast) {
		return install(turn, {
			index: message.index,
			term: message.lastTerm,
			members: message.members,
			data: incoming.pieces.join(''),
		});
	}

	return send(update(turn, {incoming}), {
		kind: 'snapshot-answer',
		to: message.from,
		index: message.index,
		offset: incoming.length,
	});
}

/** Takes a piece of a leader's snapshot. */
export function receiveSnapshot(turn: Turn, message: SnapshotMessage): Turn {
	const followed = followLeader(turn, message);
	const {log, commitIndex} = followed.state;
	const isHeld =
		message.index <= commitIndex ||
		findTerm(log, message.index) === message.lastTerm;
	return isHeld
		? verifyCommitted(followed, message.index)
		: addPiece(followed, message);
}

/** Sends the piece that a replica asks for. */
export function receiveSnapshotAnswer(
	turn: Turn,
	message: SnapshotAnswerMessage,
): Turn {
	const heard = updateProgress(turn, message.from, {heardAt: turn.now});
	const progress = findLeaderRole(heard.state)?.progress[message.from];
	const {snapshot} = heard.state;
	if (progress?.snapshot === undefined || snapshot === undefined) {
		return heard;
	}

	const isSame = message.index === snapshot.index;
	const offset = isSame ? message.offset : 0;
	const isSent =
		progress.snapshot.index === snapshot.index &&
		progress.snapshot.offset === offset;
	return isSent
		? heard
		: sendSnapshotPiece(heard, message.from, snapshot, offset);
}
