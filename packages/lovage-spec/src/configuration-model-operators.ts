import {
	type ApplyOutcome,
	applyLoggedCommand,
	createStateMachine,
	type IsGuarded,
	type StateMachine,
} from '@lovagevalve/control-role';
import {explore, type ModelEvent} from './explore.js';
import {createApply} from './configuration-model-changes.js';
import type {ModelResult} from './model.js';

/** Times that each operator sends its change: once and one resend. */
const MAX_SENDS = 2;
const OPERATORS = ['a', 'b'] as const;

type Operator = Readonly<{
	sent: number;
	/** Outcomes that the operator received. */
	heard: readonly string[];
	/** Versions created by its change. */
	made: readonly number[];
}>;

type World = Readonly<{
	machine: StateMachine;
	operators: readonly Operator[];
}>;

type WorldEvent = ModelEvent &
	Readonly<{
		type: 'change is applied';
		operator: string;
		answer: 'arrives' | 'is lost';
	}>;

function describeOutcome(outcome: ApplyOutcome): string {
	return outcome.kind === 'accepted'
		? `accepted as ${outcome.version}`
		: outcome.kind;
}

function createStep(isGuardEnabled: IsGuarded) {
	return (world: World, event: WorldEvent): World => {
		const index = world.machine.appliedIndex + 1;
		const command = createApply(event.operator, 0);
		const logged = {at: 0, command};
		const {state, answer} = applyLoggedCommand(
			world.machine,
			index,
			logged,
			isGuardEnabled,
		);
		const outcome = answer.kind === 'applied' ? answer.outcome : undefined;
		const isAccepted = state.version > world.machine.version;
		return {
			machine: state,
			operators: world.operators.map((operator, i) =>
				OPERATORS[i] === event.operator
					? {
							sent: operator.sent + 1,
							made: isAccepted
								? [...operator.made, state.version]
								: operator.made,
							heard:
								outcome !== undefined && event.answer === 'arrives'
									? [...operator.heard, describeOutcome(outcome)]
									: operator.heard,
						}
					: operator,
			),
		};
	};
}

function listEvents({operators}: World): WorldEvent[] {
	return operators.flatMap(({sent}, i) =>
		sent < MAX_SENDS
			? (['arrives', 'is lost'] as const).map((answer) => ({
					type: 'change is applied',
					operator: OPERATORS[i]!,
					answer,
				}))
			: [],
	);
}

function findViolation({operators}: World): string | undefined {
	if (operators.filter(({made}) => made.length > 0).length > 1) {
		return 'of two changes with equal numbers one wins';
	}

	const hasWrongOutcome = operators.some(({made, heard}) =>
		heard.some(
			(outcome) =>
				outcome !== (made.length > 0 ? `accepted as ${made[0]}` : 'conflict'),
		),
	);
	return hasWrongOutcome ? 'each resend gets the first outcome' : undefined;
}

/**
 * Explores two operators that change the same version and resend after lost
 * answers.
 */
export function exploreOperators(isGuardEnabled: IsGuarded): ModelResult {
	return explore<World, WorldEvent>({
		initial: {
			machine: createStateMachine(),
			operators: OPERATORS.map(() => ({sent: 0, heard: [], made: []})),
		},
		events: listEvents,
		step: createStep(isGuardEnabled),
		findViolation,
		createKey: ({machine, operators}) =>
			JSON.stringify([machine.version, machine.operationId, operators]),
	});
}
