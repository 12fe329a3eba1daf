import type {Step} from './step.js';

/** Called after each state change with the new and the previous state. */
export type Listener<State> = (state: State, previous: State) => void;

/** Runs one effect of a transition. */
export type EffectHandler<Effect> = (effect: Effect) => void;

/** Holds an immutable state that only `update` replaces. */
export type Store<State, Event> = Readonly<{
	/** Returns the current state. */
	read: () => State;
	/** Applies an event. Events raised while another is applied are queued. */
	update: (event: Event) => void;
	/** Adds a listener and returns a function that removes it. */
	registerListener: (listener: Listener<State>) => () => void;
}>;

/**
 * Creates a store whose state changes by a step function. After each change the
 * effects run in order, then the listeners.
 */
export function createStore<State, Event, Effect>(
	step: Step<State, Event, Effect>,
	initial: State,
	runEffect: EffectHandler<Effect>,
): Store<State, Event> {
	let state = initial;
	let isApplying = false;
	const pending: Event[] = [];
	const listeners = new Set<Listener<State>>();

	const apply = (event: Event): void => {
		const previous = state;
		const transition = step(state, event);
		state = transition.state;
		transition.effects.forEach((effect) => {
			runEffect(effect);
		});
		listeners.forEach((listener) => {
			listener(state, previous);
		});
	};

	const applyPending = (): void => {
		while (pending.length > 0) {
			apply(pending.shift()!);
		}
	};

	return {
		read: () => state,
		update(event) {
			pending.push(event);
			if (isApplying) {
				return;
			}

			isApplying = true;
			try {
				applyPending();
			} finally {
				isApplying = false;
			}
		},
		registerListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
}
