/** Found when an invariant does not hold. */
export type Violation = Readonly<{
	invariant: string;
	/** Shortest sequence of events that leads to it. */
	path: readonly string[];
}>;

/** Result of the exploration of every reachable state. */
export type ModelResult = Readonly<{
	/** States explored; up to the first violation if there is one. */
	states: number;
	violation?: Violation;
}>;

/** A small model that drives the step functions of the programs. */
export type Model = Readonly<{
	name: string;
	/** Protecting rules that can be switched off one by one. */
	guards: readonly string[];
	/** What the exploration is bounded by. */
	bounds: string;
	/** Explores the model without the guards named. */
	run: (disabledGuards: readonly string[]) => ModelResult;
}>;

/** Runs several explorations of one model, up to the first violation. */
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
