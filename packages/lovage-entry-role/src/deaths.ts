import type {EntryEffect} from './events.js';
import type {EntryState} from './state.js';
import {strikeDigest} from './suspects.js';
import {transition, type EntryTransition} from './transition.js';
import {avoidBackend} from './view.js';

const AVOID_AFTER_DEATH_MS = 3000;

/**
 * Reports the death of a backend server once for each incarnation, with every
 * request that this entry had on it, and keeps new work from it for a while.
 */
export function reportDeath(
	state: EntryState,
	backend: string,
	now: number,
): EntryTransition {
	const known = state.view.get(backend);
	if (!known) {
		return transition(state);
	}

	const {incarnation, dataCentre, rack} = known.announcement;
	const next = {
		...state,
		view: avoidBackend(state.view, backend, now + AVOID_AFTER_DEATH_MS),
	};
	if (known.reportedIncarnation === incarnation) {
		return transition(next);
	}

	const digests = [...state.streams.values()]
		.filter((stream) => stream.backend?.id === backend)
		.map(({customer, input}) => strikeDigest(customer, input.digest));
	const report: EntryEffect = {
		kind: 'report-death',
		backend,
		incarnation,
		dataCentre,
		rack,
		digests,
	};
	const reported = {
		...next.view.get(backend)!,
		reportedIncarnation: incarnation,
	};
	return transition({...next, view: next.view.set(backend, reported)}, [
		report,
	]);
}
