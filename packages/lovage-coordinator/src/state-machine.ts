import type {LogEntry, Snapshot} from '@lovagevalve/consensus';
import {
	applyRolloutCommand,
	decodeRollouts,
	EMPTY_ROLLOUTS,
	encodeRollouts,
	isRolloutCommand,
	type RolloutCommand,
	type RolloutState,
} from '@lovagevalve/rollout';
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

/** What the log holds as commands. */
export type GroupCommand = StoredConfiguration | RolloutCommand;

/** State built from the replicated log. */
export type GroupState = Readonly<{
	configuration: StoredConfiguration | undefined;
	/** Orders of roll-outs and what became of them. */
	rollouts: RolloutState;
	/** Index of the entry that last changed the roll-outs; 0 if none has. */
	rolloutRevision: number;
	/** Index of the last applied entry. */
	appliedIndex: number;
}>;

/** State before any entry is applied. */
export const EMPTY_GROUP_STATE: GroupState = {
	configuration: undefined,
	rollouts: EMPTY_ROLLOUTS,
	rolloutRevision: 0,
	appliedIndex: 0,
};

/**
 * Applies a log entry; the configuration changes only if the version is higher.
 * Builds that know no roll-outs read a change of them as a command without effect.
 */
export function applyEntry(state: GroupState, entry: LogEntry): GroupState {
	const applied = {...state, appliedIndex: entry.index};
	if (entry.kind !== 'command') {
		return applied;
	}

	// One that can't be read changes nothing, at all replicas alike.
	const command = parseJson(entry.data).unwrapOr(undefined);
	if (isRolloutCommand(command)) {
		const rollouts = applyRolloutCommand(state.rollouts, command);
		return rollouts === state.rollouts
			? applied
			: {...applied, rollouts, rolloutRevision: entry.index};
	}

	const isNewer =
		isStoredConfiguration(command) &&
		command.version > (state.configuration?.version ?? 0);
	return isNewer ? {...applied, configuration: command} : applied;
}

/** Serializes the state for a snapshot; without roll-outs as builds that know none do. */
export function encodeState({
	configuration,
	rollouts,
	rolloutRevision,
}: GroupState): string {
	return JSON.stringify({
		...configuration,
		...(rolloutRevision === 0
			? {}
			: {rollouts: encodeRollouts(rollouts), rolloutRevision}),
	});
}

/** Restores the state from a snapshot. */
export function decodeState({index, data}: Snapshot): GroupState {
	const stored = parseJson(data).unwrapOr(undefined);
	const {rollouts, rolloutRevision} = isJsonObject(stored) ? stored : {};
	return {
		appliedIndex: index,
		configuration: isStoredConfiguration(stored)
			? {version: stored.version, text: stored.text}
			: undefined,
		rollouts: decodeRollouts(rollouts),
		rolloutRevision: isCount(rolloutRevision) ? rolloutRevision : 0,
	};
}
