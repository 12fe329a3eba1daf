import {
	chooseBackend,
	estimateOccupancy,
	type Candidate,
	type PlacementRequest,
} from '@lovagevalve/placement';
import type {EntryState} from './state.js';
import {isSuspect, strikeDigest} from './suspects.js';
import {listUsable, type Backend} from './view.js';

/** Work to be placed on a backend server of a service. */
export type Work = Omit<PlacementRequest, 'dataCentre'> &
	Readonly<{service: string}>;

function listSuspects(state: EntryState, backend: string): readonly string[] {
	return state.quarantine.suspects.length === 0
		? []
		: [...state.streams.values()]
				.filter(
					({backend: place, customer, input}) =>
						place?.id === backend && isSuspect(state, customer, input.digest),
				)
				.map(({customer, input}) => strikeDigest(customer, input.digest));
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
			inFlightThen: inFlightAtReport,
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
	return listUsable(state.view, state.lease, service, now).map((backend) =>
		createCandidate(state, backend),
	);
}

/** Chooses a backend server with room, or none. */
export function choosePlace(
	state: EntryState,
	work: Work,
	moment: Readonly<{now: number; random: number}>,
): Backend | undefined {
	const chosen = chooseBackend(
		listCandidates(state, work.service, moment.now),
		{...work, dataCentre: state.options.dataCentre},
		moment.random,
	);
	return chosen && state.view.get(chosen.id);
}

/** Counts the work that the backend servers of a service have room for. */
export function countFree(
	state: EntryState,
	service: string,
	now: number,
): number {
	return listCandidates(state, service, now)
		.map((candidate) =>
			Math.max(0, candidate.capacity - estimateOccupancy(candidate)),
		)
		.reduce((sum, free) => sum + free, 0);
}
