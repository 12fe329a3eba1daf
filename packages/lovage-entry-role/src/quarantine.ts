import type {Quarantine} from './events.js';
import {stepStream} from './machine.js';
import type {Moment} from './moment.js';
import type {EntryState, Stream} from './state.js';
import {AVOID_AFTER_DEATH_MS} from './deaths.js';
import {isConvicted} from './suspects.js';
import {chainEach, transition, type EntryTransition} from './transition.js';
import {avoidBackend} from './view.js';

/** Gives a convicted stream its final answer and cancels its attempt. */
function refuseConvicted(
	state: EntryState,
	{id, phase}: Stream,
	moment: Moment,
): EntryTransition {
	const {now} = moment;
	return phase.kind === 'queued'
		? stepStream(
				state,
				id,
				{kind: 'placement-refused', reason: 'quarantined', now},
				moment,
			)
		: stepStream(state, id, {kind: 'caller-left', now}, moment);
}

/** Keeps new work from backend servers whose death another entry reported. */
function avoidReported(state: EntryState, now: number): EntryState {
	const view = (state.quarantine.dead ?? []).reduce(
		(current, {backend, incarnation}) =>
			current.get(backend)?.announcement.incarnation === incarnation
				? avoidBackend(current, backend, now + AVOID_AFTER_DEATH_MS)
				: current,
		state.view,
	);
	return {...state, view};
}

/** Learns of suspects and convicts; an older version changes nothing. */
export function learnQuarantine(
	state: EntryState,
	quarantine: Quarantine,
	moment: Moment,
): EntryTransition {
	if (quarantine.version <= state.quarantine.version) {
		return transition(state);
	}

	const next = avoidReported({...state, quarantine}, moment.now);
	const convicted = [...state.streams.values()].filter(({customer, input}) =>
		isConvicted(next, customer, input.digest),
	);
	return chainEach(next, convicted, (current, stream) =>
		refuseConvicted(current, stream, moment),
	);
}
