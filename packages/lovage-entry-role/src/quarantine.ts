import type {Quarantine} from './events.js';
import {stepStream} from './stream-generation.js';
import type {StepContext} from './step-context.js';
import type {EntryState, Stream} from './state.js';
import {AVOID_AFTER_DEATH_MS} from './deaths.js';
import {isQuarantined} from './suspects.js';
import {chainEach, transition, type EntryTransition} from './transition.js';
import {avoidBackend} from './view.js';

/** Refuses the stream of a quarantined request and cancels its attempt. */
function refuseQuarantined(
	state: EntryState,
	{id, phase}: Stream,
	context: StepContext,
): EntryTransition {
	const {now} = context;
	return phase.kind === 'queued'
		? stepStream(
				state,
				id,
				{kind: 'placement-refused', reason: 'quarantined', now},
				context,
			)
		: stepStream(state, id, {kind: 'caller-left', now}, context);
}

/** Gives no new work to backend servers whose death any entry reported. */
function avoidReportedDeaths(state: EntryState, now: number): EntryState {
	const view = (state.quarantine.dead ?? []).reduce(
		(current, {backend, incarnation}) =>
			current.get(backend)?.announcement.incarnation === incarnation
				? avoidBackend(current, backend, now + AVOID_AFTER_DEATH_MS)
				: current,
		state.view,
	);
	return {...state, view};
}

/** Applies a newer version of the quarantine lists; ignores any other. */
export function applyQuarantine(
	state: EntryState,
	quarantine: Quarantine,
	context: StepContext,
): EntryTransition {
	if (quarantine.version <= state.quarantine.version) {
		return transition(state);
	}

	const next = avoidReportedDeaths({...state, quarantine}, context.now);
	const quarantined = [...state.streams.values()].filter(({customer, input}) =>
		isQuarantined(next, customer, input.digest),
	);
	return chainEach(next, quarantined, (current, stream) =>
		refuseQuarantined(current, stream, context),
	);
}
