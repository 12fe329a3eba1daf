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
	 * after it are applied again; the highest version wins. Roll-outs are built again
	 * from the snapshot and the log, as an order that is applied twice isn't the same.
	 */
	recover: (snapshot: Snapshot | undefined) => void;
	/**
	 * Returns a snapshot if the configuration is newer than that of the last one, or
	 * many changes of roll-outs came after it; otherwise undefined.
	 */
	takeDueSnapshot: () => DueSnapshot | undefined;
}>;

/**
 * Changes of roll-outs after which a snapshot takes their place in the log. An order
 * has up to eight; a snapshot repeats the configuration, of 100 KB.
 */
const ROLLOUT_CHANGES_PER_SNAPSHOT = 32;

/** Creates the state of a replica that has applied nothing. */
export function createAppliedState(): AppliedState {
	let state: GroupState = EMPTY_GROUP_STATE;
	let snapshotVersion = 0;
	let rolloutChanges = 0;
	const readVersion = (): number => state.configuration?.version ?? 0;
	return {
		read: () => state,
		readVersion,
		apply(entry) {
			const {rolloutRevision} = state;
			state = applyEntry(state, entry);
			rolloutChanges += state.rolloutRevision === rolloutRevision ? 0 : 1;
		},
		install(snapshot) {
			state = decodeState(snapshot);
			snapshotVersion = readVersion();
			rolloutChanges = 0;
		},
		recover(snapshot) {
			state =
				snapshot === undefined
					? {...EMPTY_GROUP_STATE, configuration: state.configuration}
					: keepNewerConfiguration(state, decodeState(snapshot));
			snapshotVersion = readVersion();
			rolloutChanges = 0;
		},
		takeDueSnapshot() {
			if (
				readVersion() <= snapshotVersion &&
				rolloutChanges < ROLLOUT_CHANGES_PER_SNAPSHOT
			) {
				return undefined;
			}

			snapshotVersion = readVersion();
			rolloutChanges = 0;
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
