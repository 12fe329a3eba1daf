import {
	type ClaimAnswer,
	type ClaimCommand,
	createClaimsStep,
	type IsGuardEnabled,
} from '@lovagevalve/claims';
import {setArrival, stepArrival} from './claims-model-arrivals.js';
import {
	RETENTION_MS,
	type World,
	type WorldEvent,
} from './claims-model-world.js';

function applyCommand(
	state: World,
	command: ClaimCommand,
	isGuarded: IsGuardEnabled,
): {state: World; answer?: ClaimAnswer} {
	const {state: claims, effects} = createClaimsStep(isGuarded)(state.claims, {
		command,
		at: state.isRetentionOver ? 10 * RETENTION_MS : 0,
		retentionMs: RETENTION_MS,
	});
	return {state: {...state, claims}, answer: effects[0]?.answer};
}

function deliver(
	state: World,
	event: Extract<WorldEvent, {type: 'group applies'}>,
	isGuarded: IsGuardEnabled,
): World {
	const {arrival: index, i} = event;
	const sent = state.arrivals[index]!.sent[i]!;
	const taken = setArrival(state, index, (arrival) => ({
		...arrival,
		sent: arrival.sent.filter((_, j) => j !== i),
	}));
	const copied = event.isDuplicated
		? {...taken, duplicate: sent.command, isDuplicated: true}
		: taken;
	const applied = applyCommand(copied, sent.command, isGuarded);
	const {answer} = applied;
	return answer !== undefined && event.answer === 'arrives'
		? stepArrival(
				applied.state,
				index,
				{kind: 'claim-answered', answer},
				isGuarded,
			)
		: applied.state;
}

/** Creates the step of the model with some rules switched off. */
export function createStep(isGuarded: IsGuardEnabled) {
	return (state: World, event: WorldEvent): World => {
		switch (event.type) {
			case 'arrival': {
				return stepArrival(state, event.arrival, event.event, isGuarded);
			}

			case 'group applies': {
				return deliver(state, event, isGuarded);
			}

			case 'duplicate settlement arrives': {
				const {duplicate, ...rest} = state;
				return applyCommand(rest, duplicate!, isGuarded).state;
			}

			case 'dispatch time passes': {
				return setArrival(state, event.arrival, (arrival) => ({
					...arrival,
					isLate: true,
				}));
			}

			case 'claim lapses': {
				const claims = [event.claim];
				return applyCommand(state, {kind: 'lapse', claims}, isGuarded).state;
			}

			case 'retention passes': {
				return {...state, isRetentionOver: true};
			}
		}
	};
}
