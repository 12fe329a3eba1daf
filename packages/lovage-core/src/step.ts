/** Result of a step: the next state and the effects that the host must run. */
export type Transition<State, Effect> = Readonly<{
	state: State;
	effects: readonly Effect[];
}>;

/** A pure state transition without I/O, clock or random source. */
export type Step<State, Event, Effect> = (
	state: State,
	event: Event,
) => Transition<State, Effect>;

/** Creates a transition, without effects by default. */
export function createTransition<State, Effect>(
	state: State,
	effects: readonly Effect[] = [],
): Transition<State, Effect> {
	return {state, effects};
}
