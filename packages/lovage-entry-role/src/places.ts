import {listHomes} from './addresses.js';
import {homeKey, registerHome, type HomeAnswer, type Place} from './homes.js';
import {isLeaving, type EntryState} from './state.js';
import {chainEach, transition, type EntryTransition} from './transition.js';
import type {EntryPeer} from './lease.js';

/** Registers a place at this entry, its home. */
export function registerPlace(
	state: EntryState,
	place: Place,
	now: number,
): Readonly<{state: EntryState; answer: HomeAnswer}> {
	const {homeLifetimeMs} = state.options;
	const {homes, answer} = registerHome(state.homes, place, now, homeLifetimeMs);
	return {state: {...state, homes}, answer};
}

/** Forgets a place at this entry unless another generation holds it. */
export function removePlace(state: EntryState, place: Place): EntryState {
	const key = homeKey(place.customer, place.requestId);
	const isSame = state.homes.get(key)?.place.generation === place.generation;
	return isSame ? {...state, homes: state.homes.delete(key)} : state;
}

/** Lists the entries that remember the place of a request. */
export function listPlaceHomes(
	state: EntryState,
	request: Readonly<{customer: string; requestId: string}>,
): readonly EntryPeer[] {
	const key = homeKey(request.customer, request.requestId);
	return listHomes(state.options, state.lease, isLeaving(state), key);
}

/** Tells the homes of a request where its generation lives now. */
export function publishPlace(
	state: EntryState,
	place: Place,
	now: number,
): EntryTransition {
	const homes = listPlaceHomes(state, place);
	return chainEach(state, homes, (next, {id, address}) =>
		id === next.options.id
			? transition(registerPlace(next, place, now).state)
			: transition(next, [{kind: 'update-home', address, place}]),
	);
}

/** Tells the homes of a request that its generation has ended for good. */
export function forgetPlace(state: EntryState, place: Place): EntryTransition {
	const homes = listPlaceHomes(state, place);
	return chainEach(state, homes, (next, {id, address}) =>
		id === next.options.id
			? transition(removePlace(next, place))
			: transition(next, [{kind: 'forget-home', address, place}]),
	);
}
