/** Outcome of one step: the next state and the effects that the host runs. */
export type Transition<State, Effect> = Readonly<{
	state: State;
	effects: readonly Effect[];
}>;

/** A pure decision: no I/O, no clock, no random source. */
export type Step<State, Event, Effect> = (
	state: State,
	event: Event,
) => Transition<State, Effect>;

/** Builds a transition, without effects by default. */
export function createTransition<State, Effect>(
	state: State,
	effects: readonly Effect[] = [],
): Transition<State, Effect> {
	return {state, effects};
}
