import {fromTransition} from 'xstate';
import {getAdjacencyMap} from 'xstate/graph';
import type {ModelResult, Violation} from './model.js';

/** Maximum number of states of one model. */
export const STATE_LIMIT = 150_000;

/** Event of a model. A printed path shows `type` and all other fields. */
export type ModelEvent = Readonly<{type: string}>;

/** Initial state, transitions and invariants of the model to explore. */
export type ExploreOptions<State, Event extends ModelEvent> = Readonly<{
	initial: State;
	/** Lists the events enabled in a state. */
	events: (state: State) => readonly Event[];
	step: (state: State, event: Event) => State;
	/** Returns the name of a violated invariant, if any. */
	findViolation: (state: State) => string | undefined;
	/** Maps equivalent states to the same key; defaults to the JSON text. */
	createKey?: (state: State) => string;
}>;

type Predecessor = Readonly<{from?: string; event?: ModelEvent}>;

function describeEvent(event: ModelEvent): string {
	const {type, ...rest} = event;
	const details = Object.entries(rest).map(
		([name, value]) => `${name}=${JSON.stringify(value)}`,
	);
	return [type, ...details].join(' ');
}

function findPath(
	predecessors: ReadonlyMap<string, Predecessor>,
	endKey: string,
): string[] {
	const path: string[] = [];
	let predecessor = predecessors.get(endKey);
	while (predecessor?.event !== undefined) {
		path.unshift(describeEvent(predecessor.event));
		predecessor =
			predecessor.from === undefined
				? undefined
				: predecessors.get(predecessor.from);
	}

	return path;
}

/**
 * Visits the reachable states breadth-first and stops at the first violation.
 * Throws a `RangeError` for more than {@link STATE_LIMIT} states.
 */
export function explore<State, Event extends ModelEvent>(
	exploration: ExploreOptions<State, Event>,
): ModelResult {
	const {initial, events, step, findViolation} = exploration;
	const createKey =
		exploration.createKey ?? ((state: State) => JSON.stringify(state));
	const predecessors = new Map<string, Predecessor>();
	const stateKeys = new WeakMap<WeakKey, string>();
	// Short integer keys keep the lookups of `getAdjacencyMap` fast.
	const shortKeys = new Map<string, string>();
	const shortenKey = (key: string): string => {
		const known = shortKeys.get(key) ?? String(shortKeys.size);
		shortKeys.set(key, known);
		return known;
	};

	const getStateKey = (snapshot: {context: State}): string => {
		const known = stateKeys.get(snapshot);
		const key = known ?? shortenKey(createKey(snapshot.context));
		stateKeys.set(snapshot, key);
		return key;
	};

	let violation: Violation | undefined;
	const logic = fromTransition<State, Event, never, never>(step, initial);
	getAdjacencyMap(logic, {
		events: (snapshot) => events(snapshot.context),
		serializeState(snapshot, event, previous) {
			const key = getStateKey(snapshot);
			if (violation === undefined && !predecessors.has(key)) {
				predecessors.set(key, {
					from: previous === undefined ? undefined : getStateKey(previous),
					event,
				});
			}

			if (predecessors.size > STATE_LIMIT) {
				throw new RangeError(`More than ${STATE_LIMIT} states`);
			}

			return key;
		},
		// Edges are not used: a constant key keeps only one of them per state.
		serializeEvent: () => '',
		stopWhen(snapshot) {
			if (violation !== undefined) {
				return true;
			}

			const invariant = findViolation(snapshot.context);
			if (invariant === undefined) {
				return false;
			}

			violation = {
				invariant,
				path: findPath(predecessors, getStateKey(snapshot)),
			};
			return true;
		},
	});
	return {states: predecessors.size, violation};
}
