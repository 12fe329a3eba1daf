import {createTransition, type Transition} from '@lovagevalve/core';
import type {EntryEffect} from './effects.js';
import type {EntryState} from './state.js';

/** New state of an entry instance with the effects to run. */
export type EntryTransition = Transition<EntryState, EntryEffect>;

/** Creates a transition of an entry instance. */
export function transition(
	state: EntryState,
	effects: readonly EntryEffect[] = [],
): EntryTransition {
	return createTransition(state, effects);
}

/** Applies a change after a transition and concatenates the effects. */
export function chain(
	before: EntryTransition,
	change: (state: EntryState) => EntryTransition,
): EntryTransition {
	const after = change(before.state);
	return createTransition(after.state, [...before.effects, ...after.effects]);
}

/** Applies a change for each item in order and concatenates the effects. */
export function chainEach<T>(
	state: EntryState,
	items: readonly T[],
	change: (state: EntryState, item: T) => EntryTransition,
): EntryTransition {
	return items.reduce<EntryTransition>(
		(before, item) => chain(before, (next) => change(next, item)),
		transition(state),
	);
}
