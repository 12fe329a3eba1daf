import {getNextDeadline} from '@lovagevalve/generation';
import {cancelAbandoned, releaseAbandoned} from './abandoned.js';
import {answerClaim} from './arrivals.js';
import {
	answerCall,
	continueLostCall,
	continueUnsentCall,
	requestCall,
	sendConnectedCall,
} from './calls.js';
import {acknowledgeDeaths} from './deaths.js';
import {acknowledgeLeaving, continueDrain, startDrain} from './drain.js';
import type {EntryEffect} from './effects.js';
import type {EntryEvent} from './events.js';
import {expireHomes} from './homes.js';
import {applyGrant} from './lease.js';
import {stepStream} from './machine.js';
import type {Moment} from './moment.js';
import {registerPlace, removePlace} from './places.js';
import {learnQuarantine} from './quarantine.js';
import {serveQueues} from './queues.js';
import type {EntryState} from './state.js';
import {answerHome} from './registration.js';
import {leaveStream, requestGeneration} from './streams.js';
import {
	chain,
	chainEach,
	transition,
	type EntryTransition,
} from './transition.js';
import {applyAnnouncement, expireBackends} from './view.js';

const CLEAN_EVERY_MS = 1000;

/** Decides everything that an entry instance decides. Pure. */
export function stepEntry(
	state: EntryState,
	event: EntryEvent,
): EntryTransition {
	switch (event.kind) {
		case 'generation-requested': {
			return requestGeneration(state, event);
		}

		case 'home-answered': {
			return answerHome(state, event);
		}

		case 'generation-event': {
			const {stream, event: inner, random} = event;
			const moment = {now: inner.now, random};
			return chain(stepStream(state, stream, inner, moment), (next) =>
				next.view === state.view ? transition(next) : serveQueues(next, moment),
			);
		}

		case 'caller-left': {
			return chain(leaveStream(state, event), (next) =>
				serveQueues(next, event),
			);
		}

		case 'generation-released': {
			return transition(releaseAbandoned(state, event.generation));
		}

		case 'place-registered': {
			return transition(registerPlace(state, event.place, event.now).state);
		}

		case 'place-forgotten': {
			return transition(removePlace(state, event.place));
		}

		case 'call-requested': {
			return requestCall(state, event);
		}

		case 'claim-answered': {
			return answerClaim(state, event);
		}

		case 'call-connected': {
			return sendConnectedCall(state, event);
		}

		case 'call-answered': {
			return answerCall(state, event);
		}

		case 'call-not-sent': {
			return continueUnsentCall(state, event);
		}

		case 'call-lost': {
			return continueLostCall(state, event);
		}

		case 'backend-announced': {
			return takeAnnouncement(state, event);
		}

		case 'lease-granted': {
			const {askedAt, grant, now} = event;
			const lease = applyGrant(state.lease, grant, askedAt);
			return transition(acknowledgeLeaving({...state, lease}, askedAt, now));
		}

		case 'quarantine-learned': {
			return learnQuarantine(state, event.quarantine, event);
		}

		case 'deaths-acknowledged': {
			const acknowledged = acknowledgeDeaths(state, event.deaths);
			return chain(
				learnQuarantine(acknowledged, event.quarantine, event),
				(next) => serveQueues(next, event),
			);
		}

		case 'drain-requested': {
			return startDrain(state, event.now);
		}

		case 'ticked': {
			return tick(state, event);
		}
	}
}

function takeAnnouncement(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'backend-announced'}>,
): EntryTransition {
	const {announcement, now, isDirect} = event;
	const {announcementLifetimeMs} = state.options;
	const view = applyAnnouncement(
		state.view,
		announcement,
		now,
		announcementLifetimeMs,
	);
	if (view === state.view) {
		return transition(state);
	}

	const relay: readonly EntryEffect[] = isDirect
		? [{kind: 'relay-announcement', announcement}]
		: [];
	return chain(transition({...state, view}, relay), (next) =>
		serveQueues(next, event),
	);
}

function tickStreams(state: EntryState, moment: Moment): EntryTransition {
	const {now} = moment;
	const due = [...state.streams.values()].filter(({machine}) => {
		const deadline = machine && getNextDeadline(machine);
		return deadline !== undefined && deadline <= now;
	});
	return chainEach(state, due, (next, {id}) =>
		stepStream(next, id, {kind: 'ticked', now}, moment),
	);
}

/** Drops what has expired, now and then: it walks over everything. */
function clean(state: EntryState, now: number): EntryState {
	if (now < state.cleanedAt + CLEAN_EVERY_MS) {
		return state;
	}

	const {announcementLifetimeMs} = state.options;
	return {
		...state,
		view: expireBackends(state.view, now, announcementLifetimeMs),
		homes: expireHomes(state.homes, now),
		cleanedAt: now,
	};
}

function tick(state: EntryState, moment: Moment): EntryTransition {
	const {now} = moment;
	return [
		(next: EntryState) => tickStreams(next, moment),
		(next: EntryState) => cancelAbandoned(next, now),
		(next: EntryState) => serveQueues(next, moment),
		(next: EntryState) => continueDrain(next, now),
	].reduce(chain, transition(clean(state, now)));
}
