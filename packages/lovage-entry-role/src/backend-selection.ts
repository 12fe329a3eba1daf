import {
	chooseBackend,
	countFreeSlots,
	type Candidate,
	type PlacementRequest,
} from '@lovagevalve/placement';
import type {EntryState} from './state.js';
import {isSuspect, createQuarantineKey} from './suspects.js';
import {listAvailableBackends, type Backend} from './view.js';

/** Request to be placed on a backend server of a service. */
export type PlacementWork = Omit<
	PlacementRequest,
	'dataCentre' | 'failedDataCentres' | 'suspects' | 'leading'
> &
	Readonly<{service: string}>;

function listSuspects(state: EntryState, backend: string): readonly string[] {
	return state.quarantine.suspects.length === 0
		? []
		: [...state.streams.values()]
				.filter(
					({backend: attemptBackend, customer, input}) =>
						attemptBackend?.id === backend &&
						isSuspect(state, customer, input.digest),
				)
				.map(({customer, input}) =>
					createQuarantineKey(customer, input.digest),
				);
}

function createCandidate(state: EntryState, backend: Backend): Candidate {
	const {announcement, inFlight, inFlightAtReport, cachedPrefixes} = backend;
	const {load, models} = announcement;
	return {
		id: announcement.id,
		dataCentre: announcement.dataCentre,
		state: announcement.state,
		incarnation: announcement.incarnation,
		capacity: announcement.capacity,
		role: announcement.role,
		models: models.map(({id}) => id),
		inFlight,
		report: {
			running: load.running,
			waiting: load.waiting,
			inFlightAtReport,
		},
		cachedPrefixes,
		suspects: listSuspects(state, announcement.id),
	};
}

function listCandidates(
	state: EntryState,
	service: string,
	now: number,
): readonly Candidate[] {
	return listAvailableBackends(state.view, state.lease, service, now).map(
		(backend) => createCandidate(state, backend),
	);
}

function listDataCentres(
	state: EntryState,
	backends: readonly string[],
): readonly string[] {
	return backends.flatMap(
		(id) => state.view.get(id)?.announcement.dataCentre ?? [],
	);
}

/** Selects a backend server with a free slot, if there is one. */
export function selectBackend(
	state: EntryState,
	work: PlacementWork,
	context: Readonly<{now: number; random: number}>,
): Backend | undefined {
	const chosen = chooseBackend(
		listCandidates(state, work.service, context.now),
		{
			...work,
			dataCentre: state.options.dataCentre,
			failedDataCentres: listDataCentres(state, work.excluded),
			suspects: state.quarantine.suspects,
			leading: state.quarantine.leading,
		},
		context.random,
	);
	return chosen && state.view.get(chosen.id);
}

/** Counts the free slots of a service that this entry may use; entries share them. */
export function countAvailableSlots(
	state: EntryState,
	service: string,
	now: number,
): number {
	const others = state.lease.entries.filter(
		({id}) => id !== state.options.id,
	).length;
	return countFreeSlots(listCandidates(state, service, now), others + 1);
}
