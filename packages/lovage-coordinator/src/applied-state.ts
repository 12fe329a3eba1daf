import type {LogEntry, Snapshot} from '@lovagevalve/consensus';
import {
	applyEntry,
	decodeState,
	EMPTY_GROUP_STATE,
	encodeState,
	type GroupState,
} from './state-machine.js';

/** State to store in place of the log entries up to its index. */
export type DueSnapshot = Pick<Snapshot, 'index' | 'data'>;

/** State of the group as far as this replica has applied the log. */
export type AppliedState = Readonly<{
	read: () => GroupState;
	/** Version of the newest configuration; 0 if there is none. */
	readVersion: () => number;
	apply: (entry: LogEntry) => void;
	/** Continues from the leader's snapshot. */
	install: (snapshot: Snapshot) => void;
	/**
	 * Continues from the snapshot in the data folder, if there is one. The entries
	 * after it are applied again; the highest version wins.
	 */
	recover: (snapshot: Snapshot | undefined) => void;
	/**
	 * Returns a snapshot if the configuration is newer than that of the last one,
	 * otherwise undefined.
	 */
	takeDueSnapshot: () => DueSnapshot | undefined;
}>;

/** Creates the state of a replica that has applied nothing. */
export function createAppliedState(): AppliedState {
	let state: GroupState = EMPTY_GROUP_STATE;
	let snapshotVersion = 0;
	const readVersion = (): number => state.configuration?.version ?? 0;
	return {
		read: () => state,
		readVersion,
		apply(entry) {
			state = applyEntry(state, entry);
		},
		install(snapshot) {
			state = decodeState(snapshot);
			snapshotVersion = readVersion();
		},
		recover(snapshot) {
			state =
				snapshot === undefined
					? {...state, appliedIndex: 0}
					: keepNewerConfiguration(state, decodeState(snapshot));
			snapshotVersion = readVersion();
		},
		takeDueSnapshot() {
			if (readVersion() <= snapshotVersion) {
				return undefined;
			}

			snapshotVersion = readVersion();
			return {index: state.appliedIndex, data: encodeState(state)};
		},
	};
}

function keepNewerConfiguration(
	current: GroupState,
	loaded: GroupState,
): GroupState {
	const isOlder =
		(loaded.configuration?.version ?? 0) <
		(current.configuration?.version ?? 0);
	return isOlder ? {...loaded, configuration: current.configuration} : loaded;
}
