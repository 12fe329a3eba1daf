import {findTerm, readLastIndex, takeEntries} from './log.js';
import {readOthers} from './members.js';
import type {LeaderRole, Progress, RaftState} from './state.js';
import {send, update, type Turn} from './turn.js';
import type {LogEntry, ReplicaId, Snapshot} from './types.js';

/** Leader's part of the state, if this replica leads. */
export function findLeaderRole(state: RaftState): LeaderRole | undefined {
	return state.role.kind === 'leader' ? state.role : undefined;
}

/** Changes what the leader keeps; nothing on other replicas. */
export function updateLeader(turn: Turn, patch: Partial<LeaderRole>): Turn {
	const {role} = turn.state;
	return role.kind === 'leader'
		? update(turn, {role: {...role, ...patch}})
		: turn;
}

/** Changes what the leader knows of a replica. */
export function updateProgress(
	turn: Turn,
	replica: ReplicaId,
	patch: Partial<Progress>,
): Turn {
	const {role} = turn.state;
	if (role.kind !== 'leader') {
		return turn;
	}

	const known = role.progress[replica];
	return known === undefined
		? turn
		: updateLeader(turn, {
				progress: {...role.progress, [replica]: {...known, ...patch}},
			});
}

/** What a new leader assumes of a replica. */
export function createProgress(state: RaftState, now: number): Progress {
	return {
		matchIndex: 0,
		nextIndex: readLastIndex(state.log) + 1,
		inflight: [],
		round: 0,
		heardAt: now,
	};
}

/** Follows a change of the members: one record for each other replica. */
export function alignProgress(turn: Turn): Turn {
	const role = findLeaderRole(turn.state);
	if (role === undefined) {
		return turn;
	}

	const progress = Object.fromEntries(
		readOthers(turn.state).map((replica) => [
			replica,
			role.progress[replica] ?? createProgress(turn.state, turn.now),
		]),
	);
	return updateLeader(turn, {progress});
}

function sendAppend(
	turn: Turn,
	to: ReplicaId,
	previousIndex: number,
	entries: readonly LogEntry[],
): Turn {
	const role = findLeaderRole(turn.state);
	return send(turn, {
		kind: 'append',
		to,
		previousIndex,
		previousTerm: findTerm(turn.state.log, previousIndex) ?? 0,
		entries,
		commitIndex: turn.state.commitIndex,
		round: role?.round ?? 0,
	});
}

/** Sends the piece of the snapshot that starts at `offset`. */
export function sendSnapshotPiece(
	turn: Turn,
	to: ReplicaId,
	snapshot: Snapshot,
	offset: number,
): Turn {
	const {snapshotPieceCharacters} = turn.state.settings;
	const end = offset + snapshotPieceCharacters;
	const next = updateProgress(turn, to, {
		inflight: [],
		snapshot: {index: snapshot.index, offset, sentAt: turn.now},
	});
	return send(next, {
		kind: 'snapshot',
		to,
		index: snapshot.index,
		lastTerm: snapshot.term,
		members: snapshot.members,
		offset,
		data: snapshot.data.slice(offset, end),
		isLast: end >= snapshot.data.length,
	});
}

/** Sends what a replica lacks, as far as its window allows. */
export function replicate(turn: Turn, to: ReplicaId): Turn {
	const {state} = turn;
	const {settings, log, snapshot} = state;
	const progress = findLeaderRole(state)?.progress[to];
	if (progress === undefined || progress.snapshot !== undefined) {
		return turn;
	}

	if (progress.nextIndex <= log.baseIndex) {
		return snapshot === undefined
			? turn
			: sendSnapshotPiece(turn, to, snapshot, 0);
	}

	const isFull = progress.inflight.length >= settings.maxInflightAppends;
	if (isFull || progress.nextIndex > readLastIndex(log)) {
		return turn;
	}

	const entries = takeEntries(log, progress.nextIndex, {
		count: settings.maxAppendEntries,
		characters: settings.maxAppendCharacters,
	});
	const lastSent = progress.nextIndex + entries.length - 1;
	const sent = sendAppend(turn, to, progress.nextIndex - 1, entries);
	const next = updateProgress(sent, to, {
		nextIndex: lastSent + 1,
		inflight: [...progress.inflight, lastSent],
	});
	return replicate(next, to);
}

/** Sends every replica what it lacks. */
export function replicateAll(turn: Turn): Turn {
	return readOthers(turn.state).reduce(replicate, turn);
}

function sendHeartbeat(turn: Turn, to: ReplicaId): Turn {
	const {state, now} = turn;
	const {log, snapshot, settings} = state;
	const progress = findLeaderRole(state)?.progress[to];
	if (progress === undefined) {
		return turn;
	}

	const transfer = progress.snapshot;
	if (transfer === undefined) {
		const previous = Math.max(progress.nextIndex - 1, log.baseIndex);
		return sendAppend(turn, to, previous, []);
	}

	// The replica holds no entry to build on yet; index 0 matches every log.
	const sent = sendAppend(turn, to, 0, []);
	const isLost = now - transfer.sentAt >= settings.electionTimeoutMs;
	if (!isLost || snapshot === undefined) {
		return sent;
	}

	const isSame = transfer.index === snapshot.index;
	return sendSnapshotPiece(sent, to, snapshot, isSame ? transfer.offset : 0);
}

/** Sends every replica a heartbeat with the current read round. */
export function sendHeartbeats(turn: Turn): Turn {
	const sent = readOthers(turn.state).reduce(sendHeartbeat, turn);
	return updateLeader(sent, {
		heartbeatAt: turn.now + turn.state.settings.heartbeatIntervalMs,
		caughtUpIndex: turn.state.commitIndex,
	});
}
