import {findTerm, readLastIndex, takeEntries} from './log.js';
import {readOthers} from './members.js';
import type {LeaderRole, Progress, RaftState} from './state.js';
import {send, update, type Step} from './step.js';
import type {LogEntry, ReplicaId, Snapshot} from './types.js';

/** Returns the leader state, or `undefined` if this replica is not the leader. */
export function findLeaderRole(state: RaftState): LeaderRole | undefined {
	return state.role.kind === 'leader' ? state.role : undefined;
}

/** Updates the leader state; does nothing unless this replica is the leader. */
export function updateLeaderRole(step: Step, patch: Partial<LeaderRole>): Step {
	const {role} = step.state;
	return role.kind === 'leader'
		? update(step, {role: {...role, ...patch}})
		: step;
}

/** Updates the replication progress of a replica. */
export function updateProgress(
	step: Step,
	replica: ReplicaId,
	patch: Partial<Progress>,
): Step {
	const {role} = step.state;
	if (role.kind !== 'leader') {
		return step;
	}

	const known = role.progress[replica];
	return known === undefined
		? step
		: updateLeaderRole(step, {
				progress: {...role.progress, [replica]: {...known, ...patch}},
			});
}

/** Creates the initial replication progress of a replica. */
export function createProgress(state: RaftState, now: number): Progress {
	return {
		matchIndex: 0,
		nextIndex: readLastIndex(state.log) + 1,
		inflight: [],
		round: 0,
		heardAt: now,
	};
}

/** Adds and removes progress records so that there is one for each other member. */
export function alignProgressWithMembers(step: Step): Step {
	const role = findLeaderRole(step.state);
	if (role === undefined) {
		return step;
	}

	const progress = Object.fromEntries(
		readOthers(step.state).map((replica) => [
			replica,
			role.progress[replica] ?? createProgress(step.state, step.now),
		]),
	);
	return updateLeaderRole(step, {progress});
}

function sendAppend(
	step: Step,
	to: ReplicaId,
	previousIndex: number,
	entries: readonly LogEntry[],
): Step {
	const role = findLeaderRole(step.state);
	return send(step, {
		kind: 'append',
		to,
		previousIndex,
		previousTerm: findTerm(step.state.log, previousIndex) ?? 0,
		entries,
		commitIndex: step.state.commitIndex,
		round: role?.round ?? 0,
	});
}

/** Sends the piece of the snapshot that starts at `offset`. */
export function sendSnapshotPiece(
	step: Step,
	to: ReplicaId,
	snapshot: Snapshot,
	offset: number,
): Step {
	const {snapshotPieceCharacters} = step.state.settings;
	const end = offset + snapshotPieceCharacters;
	const next = updateProgress(step, to, {
		inflight: [],
		snapshot: {index: snapshot.index, offset, sentAt: step.now},
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

/** Sends missing entries to a replica until its append window is full. */
export function replicate(step: Step, to: ReplicaId): Step {
	const {state} = step;
	const {settings, log, snapshot} = state;
	const progress = findLeaderRole(state)?.progress[to];
	if (progress === undefined || progress.snapshot !== undefined) {
		return step;
	}

	if (progress.nextIndex <= log.baseIndex) {
		return snapshot === undefined
			? step
			: sendSnapshotPiece(step, to, snapshot, 0);
	}

	const isWindowFull = progress.inflight.length >= settings.maxInflightAppends;
	if (isWindowFull || progress.nextIndex > readLastIndex(log)) {
		return step;
	}

	const entries = takeEntries(log, progress.nextIndex, {
		count: settings.maxAppendEntries,
		characters: settings.maxAppendCharacters,
	});
	const lastSent = progress.nextIndex + entries.length - 1;
	const sent = sendAppend(step, to, progress.nextIndex - 1, entries);
	const next = updateProgress(sent, to, {
		nextIndex: lastSent + 1,
		inflight: [...progress.inflight, lastSent],
	});
	return replicate(next, to);
}

/** Sends missing entries to all other members. */
export function replicateAll(step: Step): Step {
	return readOthers(step.state).reduce(replicate, step);
}

function sendHeartbeat(step: Step, to: ReplicaId): Step {
	const {state, now} = step;
	const {log, snapshot, settings} = state;
	const progress = findLeaderRole(state)?.progress[to];
	if (progress === undefined) {
		return step;
	}

	const snapshotTransfer = progress.snapshot;
	if (snapshotTransfer === undefined) {
		const previous = Math.max(progress.nextIndex - 1, log.baseIndex);
		return sendAppend(step, to, previous, []);
	}

	// The replica is waiting for a snapshot. Index 0 matches every log.
	const sent = sendAppend(step, to, 0, []);
	const isTimedOut =
		now - snapshotTransfer.sentAt >= settings.electionTimeoutMs;
	if (!isTimedOut || snapshot === undefined) {
		return sent;
	}

	const isSameSnapshot = snapshotTransfer.index === snapshot.index;
	return sendSnapshotPiece(
		sent,
		to,
		snapshot,
		isSameSnapshot ? snapshotTransfer.offset : 0,
	);
}

/** Sends a heartbeat with the current read round to all other members. */
export function sendHeartbeats(step: Step): Step {
	const sent = readOthers(step.state).reduce(sendHeartbeat, step);
	return updateLeaderRole(sent, {
		heartbeatAt: step.now + step.state.settings.heartbeatIntervalMs,
		caughtUpIndex: step.state.commitIndex,
	});
}
