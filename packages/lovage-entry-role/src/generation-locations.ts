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

/** Registers a location at this entry, one of its home entries. */
export function registerLocation(
	state: EntryState,
	location: GenerationLocation,
	now: number,
): Readonly<{state: EntryState; answer: HomeAnswer}> {
	const {homeLifetimeMs} = state.options;
	const {locations, answer} = addLocation(
		state.locations,
		location,
		now,
		homeLifetimeMs,
	);
	return {state: {...state, locations}, answer};
}

/** Removes a location from this entry unless another generation registered it. */
export function removeLocation(
	state: EntryState,
	location: GenerationLocation,
): EntryState {
	const key = locationKey(location.customer, location.requestId);
	const isSame =
		state.locations.get(key)?.place.generation === location.generation;
	return isSame ? {...state, locations: state.locations.delete(key)} : state;
}

/** Lists the home entries of a request, which store its generation's location. */
export function listHomeEntries(
	state: EntryState,
	request: Readonly<{customer: string; requestId: string}>,
): readonly EntryPeer[] {
	const key = locationKey(request.customer, request.requestId);
	return rankHomeEntries(state.options, state.lease, isLeaving(state), key);
}

/** Sends a generation's current location to the request's home entries. */
export function publishLocation(
	state: EntryState,
	location: GenerationLocation,
	now: number,
): EntryTransition {
	const homes = listHomeEntries(state, location);
	return chainEach(state, homes, (next, {id, address}) =>
		id === next.options.id
			? transition(registerLocation(next, location, now).state)
			: transition(next, [{kind: 'update-home', address, place: location}]),
	);
}

/** Removes the location of an ended generation from the request's home entries. */
export function unregisterLocation(
	state: EntryState,
	location: GenerationLocation,
): EntryTransition {
	const homes = listHomeEntries(state, location);
	return chainEach(state, homes, (next, {id, address}) =>
		id === next.options.id
			? transition(removeLocation(next, location))
			: transition(next, [{kind: 'forget-home', address, place: location}]),
	);
}
