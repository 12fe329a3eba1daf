import type {LogEntry, Snapshot} from '@lovagevalve/consensus';

/** The newest committed configuration, in the form in which it was sent. */
export type StoredConfiguration = Readonly<{version: number; text: string}>;

/** State that the replicated log builds up. */
export type GroupState = Readonly<{
	configuration: StoredConfiguration | undefined;
	/** Last entry that is part of this state. */
	appliedIndex: number;
}>;

/** State before the first entry. */
export const EMPTY_GROUP_STATE: GroupState = {
	configuration: undefined,
	appliedIndex: 0,
};

/** Applies one entry; a version that isn't higher changes nothing. */
export function applyEntry(state: GroupState, entry: LogEntry): GroupState {
	const applied = {...state, appliedIndex: entry.index};
	if (entry.kind !== 'command') {
		return applied;
	}

	const command = JSON.parse(entry.data) as StoredConfiguration;
	const isNewer = command.version > (state.configuration?.version ?? 0);
	return isNewer ? {...applied, configuration: command} : applied;
}

/** Writes the state for a snapshot. */
export function encodeState({configuration}: GroupState): string {
	return JSON.stringify(configuration ?? {});
}

/** Reads the state of a snapshot. */
export function decodeState({index, data}: Snapshot): GroupState {
	const stored = JSON.parse(data) as Partial<StoredConfiguration>;
	return {
		appliedIndex: index,
		configuration:
			stored.version === undefined || stored.text === undefined
				? undefined
				: {version: stored.version, text: stored.text},
	};
}
