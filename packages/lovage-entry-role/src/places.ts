import {findHome} from './addresses.js';
import {homeKey, registerHome, type HomeAnswer, type Place} from './homes.js';
import {isLeaving, type EntryState} from './state.js';
import {transition, type EntryTransition} from './transition.js';

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

function findPlaceHome(state: EntryState, place: Place) {
	const key = homeKey(place.customer, place.requestId);
	return findHome(state.options, state.lease, isLeaving(state), key);
}

/** Tells the home of a request where its generation lives now. */
export function publishPlace(
	state: EntryState,
	place: Place,
	now: number,
): EntryTransition {
	const home = findPlaceHome(state, place);
	if (!home) {
		return transition(state);
	}

	if (home.id === state.options.id) {
		return transition(registerPlace(state, place, now).state);
	}

	const {address} = home;
	return transition(state, [{kind: 'update-home', address, place}]);
}

/** Tells the home of a request that its generation has ended for good. */
export function forgetPlace(state: EntryState, place: Place): EntryTransition {
	const home = findPlaceHome(state, place);
	if (!home) {
		return transition(state);
	}

	if (home.id === state.options.id) {
		return transition(removePlace(state, place));
	}

	const {address} = home;
	return transition(state, [{kind: 'forget-home', address, place}]);
}
