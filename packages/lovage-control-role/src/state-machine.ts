import {
	type ClaimLimits,
	createClaims,
	decodeClaims,
	DEFAULT_CLAIM_LIMITS,
	encodeClaims,
	stepClaims,
} from '@lovagevalve/claims';
import {createQuarantine, stepQuarantine} from '@lovagevalve/quarantine';
import {applyConfiguration} from './apply-configuration.js';
import {areAllGuardsEnabled, type IsGuarded} from './guards.js';
import type {
	LoggedCommand,
	CommandResult,
	StateMachineSnapshot,
	StateMachine,
} from './state-machine-types.js';

/** Applies until there is a configuration: 7 days. */
const DEFAULT_CLAIM_RETENTION_MS = 604_800_000;

type Outcome = Readonly<{state: StateMachine; answer: CommandResult}>;

/** Creates the initial state machine. */
export function createStateMachine(
	limits: ClaimLimits = DEFAULT_CLAIM_LIMITS,
): StateMachine {
	return {
		appliedIndex: 0,
		time: 0,
		version: 0,
		operationId: '',
		operations: [],
		claims: createClaims(limits),
		quarantine: createQuarantine(),
		orders: {fencing: 0},
	};
}

function applyCommand(
	state: StateMachine,
	{command}: LoggedCommand,
	isGuarded: IsGuarded,
): Outcome {
	switch (command.kind) {
		case 'apply': {
			const applied = applyConfiguration(state, command, isGuarded);
			return {
				state: applied.state,
				answer: {kind: 'applied', outcome: applied.outcome},
			};
		}

		case 'claim': {
			const {state: claims, effects} = stepClaims(state.claims, {
				command: command.command,
				at: state.time,
				retentionMs:
					state.configuration?.rules.claimRetentionMs ??
					DEFAULT_CLAIM_RETENTION_MS,
			});
			const [effect] = effects;
			return {
				state: {...state, claims},
				answer:
					effect === undefined
						? {kind: 'none'}
						: {kind: 'claim', answer: effect.answer},
			};
		}

		case 'report-deaths': {
			const {deaths, completed} = command;
			const now = state.time;
			const {state: quarantine} = stepQuarantine(state.quarantine, {
				kind: 'deaths-reported',
				deaths,
				completed,
				now,
			});
			return {state: {...state, quarantine}, answer: {kind: 'deaths-taken'}};
		}

		case 'judge-deaths': {
			const {state: quarantine} = stepQuarantine(state.quarantine, {
				kind: 'ticked',
				now: state.time,
			});
			return {state: {...state, quarantine}, answer: {kind: 'none'}};
		}

		case 'take-orders': {
			const fencing = isGuarded('fencingNumber')
				? state.appliedIndex
				: state.orders.fencing;
			return {
				state: {...state, orders: {fencing, holder: command.holder}},
				answer: {kind: 'orders-taken', fencing},
			};
		}
	}
}

/** Applies one committed command of the log. */
export function applyLoggedCommand(
	state: StateMachine,
	index: number,
	logged: LoggedCommand,
	isGuarded: IsGuarded = areAllGuardsEnabled,
): Outcome {
	const time = Math.max(state.time, logged.at);
	return applyCommand({...state, appliedIndex: index, time}, logged, isGuarded);
}

/** Serialises the state machine for a snapshot. */
export function encodeStateMachine(state: StateMachine): string {
	const snapshot: StateMachineSnapshot = {
		...state,
		claims: encodeClaims(state.claims),
	};
	return JSON.stringify(snapshot);
}

/** Restores the state machine from the data of a snapshot. */
export function decodeStateMachine(text: string): StateMachine {
	const snapshot = JSON.parse(text) as StateMachineSnapshot;
	return {...snapshot, claims: decodeClaims(snapshot.claims)};
}
