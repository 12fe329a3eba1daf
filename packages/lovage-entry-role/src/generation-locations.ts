import {rankHomeEntries} from './addresses.js';
import {
	locationKey,
	addLocation,
	type HomeAnswer,
	type GenerationLocation,
} from './location-table.js';
import {isLeaving, type EntryState} from './state.js';
import {chainEach, transition, type EntryTransition} from './transition.js';
import type {EntryPeer} from './lease.js';

/** Registers a place at this entry, its home. */
export function registerLocation(
	state: EntryState,
	place: GenerationLocation,
	now: number,
): Readonly<{state: EntryState; answer: HomeAnswer}> {
	const {homeLifetimeMs} = state.options;
	const {locations, answer} = addLocation(
		state.locations,
		place,
		now,
		homeLifetimeMs,
	);
	return {state: {...state, locations}, answer};
}

/** Forgets a place at this entry unless another generation holds it. */
export function removeLocation(
	state: EntryState,
	place: GenerationLocation,
): EntryState {
	const key = locationKey(place.customer, place.requestId);
	const isSame =
		state.locations.get(key)?.place.generation === place.generation;
	return isSame ? {...state, locations: state.locations.delete(key)} : state;
}

/** Lists the entries that remember the place of a request. */
export function listHomeEntries(
	state: EntryState,
	request: Readonly<{customer: string; requestId: string}>,
): readonly EntryPeer[] {
	const key = locationKey(request.customer, request.requestId);
	return rankHomeEntries(state.options, state.lease, isLeaving(state), key);
}

/** Tells the homes of a request where its generation lives now. */
export function publishLocation(
	state: EntryState,
	place: GenerationLocation,
	now: number,
): EntryTransition {
	const homes = listHomeEntries(state, place);
	return chainEach(state, homes, (next, {id, address}) =>
		id === next.options.id
			? transition(registerLocation(next, place, now).state)
			: transition(next, [{kind: 'update-home', address, place}]),
	);
}

/** Tells the homes of a request that its generation has ended for good. */
export function unregisterLocation(
	state: EntryState,
	place: GenerationLocation,
): EntryTransition {
	const homes = listHomeEntries(state, place);
	return chainEach(state, homes, (next, {id, address}) =>
		id === next.options.id
			? transition(removeLocation(next, place))
			: transition(next, [{kind: 'forget-home', address, place}]),
	);
}
