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
export type Persist = Extract<RaftEffect, {kind: 'persist'}>;
/** An image of the state machine that the replicated log asks to store. */
export type PersistSnapshot = Extract<RaftEffect, {kind: 'persist-snapshot'}>;

/** Record at the begin of each log file: all that the former files held. */
export type FirstRecord = Readonly<{
	replica: ReplicaId;
	/** Whether the log builds on the snapshot of the same generation. */
	hasSnapshot: boolean;
	hardState: HardState;
	entries: readonly LogEntry[];
}>;

/** One change of a later record. */
export type Change = Readonly<{
	hardState?: HardState;
	truncateAfter?: number;
	entries: readonly LogEntry[];
}>;

/** What a data folder holds, in memory; the entries are the tail that a new log file repeats. */
export type Image = {
	replica: ReplicaId;
	hardState: HardState;
	snapshot: Snapshot | undefined;
	entries: LogEntry[];
};

/** Adds a change; false if it does not fit what is there. */
export function applyChange(image: Image, change: Change): boolean {
	const {truncateAfter, entries} = change;
	image.hardState = change.hardState ?? image.hardState;
	const base = image.snapshot?.index ?? 0;
	if (truncateAfter !== undefined) {
		image.entries.length = Math.max(
			0,
			Math.min(image.entries.length, truncateAfter - base),
		);
	}

	const next = base + image.entries.length + 1;
	entries.forEach((entry) => {
		image.entries.push(entry);
	});
	return entries.every(({index}, position) => index === next + position);
}

/** Puts a snapshot in place of the entries that it covers. */
export function applySnapshot(image: Image, write: PersistSnapshot): void {
	const {snapshot, replacesLog} = write;
	image.entries = replacesLog
		? []
		: image.entries.filter(({index}) => index > snapshot.index);
	image.snapshot = snapshot;
}

/** Rebuilds an image from the records of a log file. */
export function restoreImage(
	payloads: readonly string[],
	snapshot: Snapshot | undefined,
): Result<Image, string> {
	const [first, ...rest] = payloads;
	if (first === undefined) {
		return err('the first record of the log is missing');
	}

	const {replica, hardState, entries, hasSnapshot} = JSON.parse(
		first,
	) as FirstRecord;
	if (hasSnapshot && snapshot === undefined) {
		return err('the snapshot is missing');
	}

	const base = hasSnapshot ? snapshot : undefined;
	const image: Image = {replica, hardState, snapshot: base, entries: []};
	const changes = rest.flatMap((text) => JSON.parse(text) as Change[]);
	const isConsistent = [{entries}, ...changes].every((change) =>
		applyChange(image, change),
	);
	return isConsistent ? ok(image) : err('entries of the log are missing');
}

/** State that a replica starts from. */
export function readRecovered(image: Image): RecoveredState {
	const {replica, hardState, snapshot, entries} = image;
	return {replica, hardState, snapshot, entries: [...entries]};
}
