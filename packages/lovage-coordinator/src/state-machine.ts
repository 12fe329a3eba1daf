import type {LogEntry, Snapshot} from '@lovagevalve/consensus';
import {isCount, isJsonObject, parseJson} from '@lovagevalve/runtime';

/** The newest committed configuration, in the form in which it was sent. */
export type StoredConfiguration = Readonly<{version: number; text: string}>;

/** Whether a value is a configuration as the log stores it. */
export function isStoredConfiguration(
	value: unknown,
): value is StoredConfiguration {
	return (
		isJsonObject(value) &&
		isCount(value.version) &&
		value.version > 0 &&
		typeof value.text === 'string'
	);
}

/** State built from the replicated log. */
export type GroupState = Readonly<{
	configuration: StoredConfiguration | undefined;
	/** Index of the last applied entry. */
	appliedIndex: number;
}>;

/** State before any entry is applied. */
export const EMPTY_GROUP_STATE: GroupState = {
	configuration: undefined,
	appliedIndex: 0,
};

/**
 * Applies a log entry; the configuration changes only if the version is higher.
 */
export function applyEntry(state: GroupState, entry: LogEntry): GroupState {
	const applied = {...state, appliedIndex: entry.index};
	if (entry.kind !== 'command') {
		return applied;
	}

	// One that can't be read changes nothing, at all replicas alike.
	const command = parseJson(entry.data).unwrapOr(undefined);
	const isNewer =
		isStoredConfiguration(command) &&
		command.version > (state.configuration?.version ?? 0);
	return isNewer ? {...applied, configuration: command} : applied;
}

/** Serializes the state for a snapshot. */
export function encodeState({configuration}: GroupState): string {
	return JSON.stringify(configuration ?? {});
}

/** Restores the state from a snapshot. */
export function decodeState({index, data}: Snapshot): GroupState {
	const stored = parseJson(data).unwrapOr(undefined);
	return {
		appliedIndex: index,
		configuration: isStoredConfiguration(stored)
			? {version: stored.version, text: stored.text}
			: undefined,
	};
}
