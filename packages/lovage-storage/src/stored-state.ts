import type {
	HardState,
	LogEntry,
	RaftEffect,
	RecoveredState,
	ReplicaId,
	Snapshot,
} from '@lovagevalve/consensus';
import {err, ok, Result} from 'neverthrow';
import {decodeBaseRecord, decodeLogChanges} from './decode-stored.js';

/** Effect of the replicated log that persists entries or the hard state. */
export type PersistEffect = Extract<RaftEffect, {kind: 'persist'}>;
/** Effect of the replicated log that persists a snapshot of the state machine. */
export type PersistSnapshotEffect = Extract<
	RaftEffect,
	{kind: 'persist-snapshot'}
>;

/** First record of each log file: the state at the time the file was created. */
export type BaseRecord = Readonly<{
	replica: ReplicaId;
	/** Whether the entries follow the snapshot file of the same generation. */
	hasSnapshot: boolean;
	hardState: HardState;
	entries: readonly LogEntry[];
}>;

/** One change in a later record; a record holds all changes of a sync. */
export type LogChange = Readonly<{
	hardState?: HardState;
	truncateAfter?: number;
	entries: readonly LogEntry[];
}>;

/** In-memory copy of the stored state; a new log file starts with its entries, which follow the snapshot. */
export type StoredState = {
	replica: ReplicaId;
	hardState: HardState;
	snapshot: Snapshot | undefined;
	entries: LogEntry[];
};

/** Applies a change; returns `false` if its entries do not continue the log. */
export function applyChange(state: StoredState, change: LogChange): boolean {
	const {truncateAfter, entries} = change;
	state.hardState = change.hardState ?? state.hardState;
	const base = state.snapshot?.index ?? 0;
	if (truncateAfter !== undefined) {
		state.entries.length = Math.max(
			0,
			Math.min(state.entries.length, truncateAfter - base),
		);
	}

	const next = base + state.entries.length + 1;
	entries.forEach((entry) => {
		state.entries.push(entry);
	});
	return entries.every(({index}, position) => index === next + position);
}

/** Replaces the entries that a snapshot covers by the snapshot. */
export function applySnapshot(
	state: StoredState,
	effect: PersistSnapshotEffect,
): void {
	const {snapshot, replacesLog} = effect;
	state.entries = replacesLog
		? []
		: state.entries.filter(({index}) => index > snapshot.index);
	state.snapshot = snapshot;
}

/** Restores the stored state from a snapshot and the records of a log file. */
export function restoreState(
	payloads: readonly string[],
	snapshot: Snapshot | undefined,
): Result<StoredState, string> {
	const [first, ...rest] = payloads;
	if (first === undefined) {
		return err('the log has no first record');
	}

	const base = decodeBaseRecord(first);
	const later = Result.combine(rest.map((text) => decodeLogChanges(text)));
	if (base.isErr() || later.isErr()) {
		return err(base.isErr() ? base.error : later._unsafeUnwrapErr());
	}

	const {replica, hardState, entries, hasSnapshot} = base.value;
	if (hasSnapshot && snapshot === undefined) {
		return err('the snapshot is missing');
	}

	const state: StoredState = {
		replica,
		hardState,
		snapshot: hasSnapshot ? snapshot : undefined,
		entries: [],
	};
	const changes = later.value.flat();
	const isConsistent = [{entries}, ...changes].every((change) =>
		applyChange(state, change),
	);
	return isConsistent ? ok(state) : err('the log entries are not contiguous');
}

/** Creates the state from which a replica starts. */
export function toRecoveredState(state: StoredState): RecoveredState {
	const {replica, hardState, snapshot, entries} = state;
	return {replica, hardState, snapshot, entries: [...entries]};
}
