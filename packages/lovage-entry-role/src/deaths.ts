import type {EntryEffect} from './effects.js';
import type {EntryState, Stream} from './state.js';
import {createQuarantineKey} from './suspects.js';
import {transition, type EntryTransition} from './transition.js';
import {avoidBackend} from './view.js';

/**
 * How long a dead backend server gets no new work. An engine takes longer than
 * this to restart, and the announcement of a new incarnation arrives within it.
 */
export const AVOID_AFTER_DEATH_MS = 3000;

const NO_BACKEND = {id: '', incarnation: 0};

/** Longest wait for the acknowledgement of a request's first death. */
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

/** Gives no new work to a stream's dead server unless it has restarted. */
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
 * Reports the death of a stream's backend server, once per incarnation, with
 * every request that this entry was running on it. Gives the server no new work
 * for a short time.
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

/** Records which deaths the control group has acknowledged. */
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
