import type {DispatchEvent} from '@lovagevalve/claims';
import {
	type Arrival,
	DISPATCH_WINDOW_MS,
	type World,
	type WorldEvent,
} from './claims-model-world.js';

/**
 * Lists the dispatch events of one arrival. The death of an entry needs no event:
 * exploration also covers the paths on which an arrival takes no more steps.
 */
function listDispatchEvents({dispatch, isLate}: Arrival): DispatchEvent[] {
	switch (dispatch.phase.kind) {
		case 'new': {
			return [{kind: 'start', now: 0}, {kind: 'withdraw'}];
		}

		case 'asking':
		case 'refusing': {
			return [{kind: 'claim-failed'}];
		}

		case 'ready': {
			const now = isLate ? DISPATCH_WINDOW_MS : 0;
			return [{kind: 'write-ready', now}, {kind: 'withdraw'}];
		}

		case 'dispatched': {
			const body = dispatch.request.digest;
			return [
				{kind: 'call-answered', answer: {status: 200, body}},
				{kind: 'call-lost'},
			];
		}

		case 'finished': {
			return [];
		}
	}
}

function isRequestSent(state: World, {dispatch}: Arrival): boolean {
	const {attempt} = dispatch.request;
	return state.told.notRun >= attempt - 1;
}

function listArrivalEvents(
	state: World,
	arrival: Arrival,
	i: number,
): WorldEvent[] {
	if (!isRequestSent(state, arrival)) {
		return [];
	}

	const dispatchEvents = listDispatchEvents(arrival).map(
		(event): WorldEvent => ({
			type: 'arrival',
			arrival: i,
			what: event.kind,
			event,
		}),
	);
	return isWithinDispatchWindow(arrival)
		? [...dispatchEvents, {type: 'dispatch time passes', arrival: i}]
		: dispatchEvents;
}

function listApplications(
	state: World,
	arrival: Arrival,
	index: number,
): WorldEvent[] {
	return arrival.sent.flatMap(({command, isAwaited}, i) => {
		const application = {
			type: 'group applies',
			arrival: index,
			command: command.kind,
			i,
			answer: isAwaited ? 'arrives' : 'is not awaited',
			isDuplicated: false,
		} as const;
		const isRepeated = command.kind === 'settle' && !state.isDuplicated;
		return isRepeated
			? [application, {...application, isDuplicated: true}]
			: [application];
	});
}

function isWithinDispatchWindow({dispatch, isLate}: Arrival): boolean {
	return dispatch.phase.kind === 'ready' && !isLate;
}

/**
 * Lists the claims that may lapse: those whose holder can no longer dispatch
 * because its dispatch window has closed on every clock.
 */
function listLapses(state: World): WorldEvent[] {
	return [...state.claims.open.entries()].flatMap(([claim, key]) => {
		const holder = state.claims.records.get(key)?.holder.copy;
		const arrival = state.arrivals.find(
			({dispatch}) => dispatch.request.copy === holder,
		);
		return arrival !== undefined && isWithinDispatchWindow(arrival)
			? []
			: [{type: 'claim lapses', claim} as const];
	});
}

/** Lists the events enabled in a state. */
export function listEvents(state: World): WorldEvent[] {
	return [
		...state.arrivals.flatMap((arrival, i) => [
			...listArrivalEvents(state, arrival, i),
			...listApplications(state, arrival, i),
		]),
		...listLapses(state),
		...(state.duplicate === undefined
			? []
			: [{type: 'duplicate settlement arrives'} as const]),
		...(state.isRetentionOver || state.claims.records.size === 0
			? []
			: [{type: 'retention passes'} as const]),
	];
}
