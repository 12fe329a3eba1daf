import {
	type ClaimAnswer,
	type ClaimCommand,
	createClaimsStep,
	type IsGuardEnabled,
} from '@lovagevalve/claims';
import {updateArrival, stepArrival} from './claims-model-arrivals.js';
import {
	RETENTION_MS,
	type World,
	type WorldEvent,
} from './claims-model-world.js';

function applyCommand(
	state: World,
	command: ClaimCommand,
	isGuardEnabled: IsGuardEnabled,
): {state: World; answer?: ClaimAnswer} {
	const {state: claims, effects} = createClaimsStep(isGuardEnabled)(
		state.claims,
		{
			command,
			at: state.isRetentionOver ? 10 * RETENTION_MS : 0,
			retentionMs: RETENTION_MS,
		},
	);
	return {state: {...state, claims}, answer: effects[0]?.answer};
}

function deliver(
	state: World,
	event: Extract<WorldEvent, {type: 'group applies'}>,
	isGuardEnabled: IsGuardEnabled,
): World {
	const {arrival: index, i} = event;
	const sent = state.arrivals[index]!.sent[i]!;
	const withoutCommand = updateArrival(state, index, (arrival) => ({
		...arrival,
		sent: arrival.sent.filter((_, j) => j !== i),
	}));
	const withDuplicate = event.isDuplicated
		? {...withoutCommand, duplicate: sent.command, isDuplicated: true}
		: withoutCommand;
	const applied = applyCommand(withDuplicate, sent.command, isGuardEnabled);
	const {answer} = applied;
	return answer !== undefined && event.answer === 'arrives'
		? stepArrival(
				applied.state,
				index,
				{kind: 'claim-answered', answer},
				isGuardEnabled,
			)
		: applied.state;
}

/** Creates the step function of the model for the enabled guards. */
export function createStep(isGuardEnabled: IsGuardEnabled) {
	return (state: World, event: WorldEvent): World => {
		switch (event.type) {
			case 'arrival': {
				return stepArrival(state, event.arrival, event.event, isGuardEnabled);
			}

			case 'group applies': {
				return deliver(state, event, isGuardEnabled);
			}

			case 'duplicate settlement arrives': {
				const {duplicate, ...rest} = state;
				return applyCommand(rest, duplicate!, isGuardEnabled).state;
			}

			case 'dispatch time passes': {
				return updateArrival(state, event.arrival, (arrival) => ({
					...arrival,
					isLate: true,
				}));
			}

			case 'claim lapses': {
				const claims = [event.claim];
				return applyCommand(state, {kind: 'lapse', claims}, isGuardEnabled)
					.state;
			}

			case 'retention passes': {
				return {...state, isRetentionOver: true};
			}
		}
	};
}
