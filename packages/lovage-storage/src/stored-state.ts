import type {
	HardState,
	LogEntry,
	RaftEffect,
	RecoveredState,
	ReplicaId,
	Snapshot,
} from '@lovagevalve/consensus';
import {err, ok, type Result} from 'neverthrow';

/** Writes that the replicated log asks for. */
export type PersistEffect = Extract<RaftEffect, {kind: 'persist'}>;
/** An image of the state machine that the replicated log asks to store. */
export type PersistSnapshotEffect = Extract<
	RaftEffect,
	{kind: 'persist-snapshot'}
>;

/** Record at the begin of each log file: all that the former files held. */
export type BaseRecord = Readonly<{
	replica: ReplicaId;
	/** Whether the log builds on the snapshot of the same generation. */
	hasSnapshot: boolean;
	hardState: HardState;
	entries: readonly LogEntry[];
}>;

/** One change of a later record. */
export type LogChange = Readonly<{
	hardState?: HardState;
	truncateAfter?: number;
	entries: readonly LogEntry[];
}>;

/** What a data folder holds, in memory; the entries are the tail that a new log file repeats. */
export type StoredState = {
	replica: ReplicaId;
	hardState: HardState;
	snapshot: Snapshot | undefined;
	entries: LogEntry[];
};

/** Adds a change; false if it does not fit what is there. */
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

/** Puts a snapshot in place of the entries that it covers. */
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

/** Rebuilds an image from the records of a log file. */
export function restoreState(
	payloads: readonly string[],
	snapshot: Snapshot | undefined,
): Result<StoredState, string> {
	const [first, ...rest] = payloads;
	if (first === undefined) {
		return err('the first record of the log is missing');
	}

	const {replica, hardState, entries, hasSnapshot} = JSON.parse(
		first,
	) as BaseRecord;
	if (hasSnapshot && snapshot === undefined) {
		return err('the snapshot is missing');
	}

	const base = hasSnapshot ? snapshot : undefined;
	const state: StoredState = {replica, hardState, snapshot: base, entries: []};
	const changes = rest.flatMap((text) => JSON.parse(text) as LogChange[]);
	const isConsistent = [{entries}, ...changes].every((change) =>
		applyChange(state, change),
	);
	return isConsistent ? ok(state) : err('entries of the log are missing');
}

/** State that a replica starts from. */
export function toRecoveredState(state: StoredState): RecoveredState {
	const {replica, hardState, snapshot, entries} = state;
	return {replica, hardState, snapshot, entries: [...entries]};
}
