import {createHash} from 'node:crypto';
import type {IsGuarded} from './guards.js';
import type {
	ApplyCommand,
	ApplyOutcome,
	StateMachine,
	AcceptedOperation,
} from './state-machine-types.js';

/** Number of accepted changes that are kept to recognise retries. */
const MAX_REMEMBERED_OPERATIONS = 1000;

type Outcome = Readonly<{state: StateMachine; outcome: ApplyOutcome}>;

function digestConfiguration(command: ApplyCommand): string {
	return createHash('sha256')
		.update(JSON.stringify(command.configuration))
		.digest('base64url');
}

function isAllowed(state: StateMachine, command: ApplyCommand): boolean {
	if (state.configuration === undefined) {
		return command.isBootstrap;
	}

	return state.configuration.inventory.operators.some(
		({id, keyHash}) => id === command.operator && keyHash === command.keyHash,
	);
}

function conflict(state: StateMachine): Outcome {
	const {version, operationId, configuration} = state;
	return {
		state,
		outcome:
			configuration === undefined
				? {kind: 'conflict-without-configuration'}
				: {kind: 'conflict', version, operationId, configuration},
	};
}

function acceptChange(
	state: StateMachine,
	command: ApplyCommand,
	digest: string,
): Outcome {
	const {operationId, configuration} = command;
	const version = state.version + 1;
	const operations = [
		...state.operations.slice(1 - MAX_REMEMBERED_OPERATIONS),
		{operationId, digest, version},
	];
	return {
		state: {...state, version, operationId, configuration, operations},
		outcome: {kind: 'accepted', version, repeated: false},
	};
}

/**
 * Applies a configuration change: at most once for each operation id, and only
 * if the current version is the one that the change is based on.
 */
export function applyConfiguration(
	state: StateMachine,
	command: ApplyCommand,
	isGuarded: IsGuarded,
): Outcome {
	const digest = digestConfiguration(command);
	const known = isGuarded('operationHistory')
		? state.operations.find(
				({operationId}) => operationId === command.operationId,
			)
		: undefined;
	// Looked up before the permission check: a change may remove its own operator,
	// and a retry of it must still get the first outcome.
	if (known?.digest === digest) {
		const {version} = known;
		return {state, outcome: {kind: 'accepted', version, repeated: true}};
	}

	if (!isAllowed(state, command)) {
		return {state, outcome: {kind: 'forbidden'}};
	}

	const isStale =
		command.baseVersion !== state.version && isGuarded('baseVersionCheck');
	return known !== undefined || isStale
		? conflict(state)
		: acceptChange(state, command, digest);
}
