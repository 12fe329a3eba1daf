/** An invariant that does not hold in some reachable state. */
export type Violation = Readonly<{
	invariant: string;
	/** Shortest sequence of events from the initial state to the violation. */
	path: readonly string[];
}>;

/** Result of exploring the reachable states of a model. */
export type ModelResult = Readonly<{
	/** Number of states visited; exploration stops at the first violation. */
	states: number;
	violation?: Violation;
}>;

/** A bounded model that drives the step functions of the production code. */
export type Model = Readonly<{
	name: string;
	/** Protocol rules that can be disabled one at a time. */
	guards: readonly string[];
	/** Human-readable limits of the explored state space. */
	bounds: string;
	/** Explores the model with the given guards disabled. */
	run: (disabledGuards: readonly string[]) => ModelResult;
}>;

/**
 * Runs the explorations of a model in order and stops after the first
 * violation.
 */
export function runSequentially(
	explorations: ReadonlyArray<() => ModelResult>,
): ModelResult {
	return explorations.reduce<ModelResult>(
		(total, run) => {
			if (total.violation !== undefined) {
				return total;
			}

			const {states, violation} = run();
			return {states: total.states + states, violation};
		},
		{states: 0},
	);
}
