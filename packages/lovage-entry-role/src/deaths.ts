import type {EntryEffect} from './effects.js';
import type {EntryState, Stream} from './state.js';
import {createQuarantineKey} from './suspects.js';
import {transition, type EntryTransition} from './transition.js';
import {avoidBackend} from './view.js';

/** Restarts of engines take longer than this; announcements of a new incarnation come within it. */
export const AVOID_AFTER_DEATH_MS = 3000;

const NO_BACKEND = {id: '', incarnation: 0};

/** Longest wait for the report of a request's first death. */
const FIRST_DEATH_WAIT_MS = 500;

function recordDeath(
	state: EntryState,
	stream: Stream,
	incarnation: number,
	now: number,
): EntryState {
	const deaths = stream.deaths + 1;
	const backend = stream.backend?.id ?? '';
	const waitMs = deaths === 1 ? FIRST_DEATH_WAIT_MS : Number.POSITIVE_INFINITY;
	const lastDeath = {backend, incarnation, since: now, until: now + waitMs};
	const next: Stream = {...stream, deaths, lastDeath};
	return {...state, streams: state.streams.set(stream.id, next)};
}

/** Keeps new work from a stream's dead server unless it has started again. */
function avoidDeadBackend(
	state: EntryState,
	stream: Stream,
	now: number,
): EntryState {
	const {id, incarnation} = stream.backend ?? NO_BACKEND;
	return state.view.get(id)?.announcement.incarnation === incarnation
		? {...state, view: avoidBackend(state.view, id, now + AVOID_AFTER_DEATH_MS)}
		: state;
}

/**
 * Reports the death of a stream's backend server once for each incarnation,
 * with every request that this entry had on it, and keeps new work from it for
 * a while.
 */
export function reportDeath(
	state: EntryState,
	stream: Stream,
	now: number,
): EntryTransition {
	const {id: backend, incarnation} = stream.backend ?? NO_BACKEND;
	const known = state.view.get(backend);
	if (!known) {
		return transition(state);
	}

	const {dataCentre, rack} = known.announcement;
	const recorded = recordDeath(state, stream, incarnation, now);
	const avoided = avoidDeadBackend(recorded, stream, now);
	if (known.reportedIncarnation === incarnation) {
		return transition(avoided);
	}

	const digests = [...state.streams.values()]
		.filter(
			(other) =>
				other.backend?.id === backend &&
				other.backend.incarnation === incarnation &&
				other.generationState?.isUnreached !== true,
		)
		.map(({customer, input}) => createQuarantineKey(customer, input.digest));
	const report: EntryEffect = {
		kind: 'report-death',
		backend,
		incarnation,
		dataCentre,
		rack,
		digests,
	};
	const reported = {
		...avoided.view.get(backend)!,
		reportedIncarnation: incarnation,
	};
	return transition({...avoided, view: avoided.view.set(backend, reported)}, [
		report,
	]);
}

/** Notes which deaths the control group knows. */
export function acknowledgeDeaths(
	state: EntryState,
	deaths: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>,
): EntryState {
	const view = deaths.reduce((current, {backend, incarnation}) => {
		const known = current.get(backend);
		return known
			? current.set(backend, {...known, acknowledgedIncarnation: incarnation})
			: current;
	}, state.view);
	return {...state, view};
}
