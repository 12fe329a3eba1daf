import {getNextDeadline} from '@lovagevalve/generation';
import {cancelAbandoned, releaseAbandoned} from './abandoned-attempts.js';
import {handleClaimAnswer} from './claimed-calls.js';
import {
	handleCallAnswer,
	handleLostCall,
	handleUnsentCall,
	requestCall,
	writeConnectedCall,
} from './calls.js';
import {acknowledgeDeaths} from './deaths.js';
import {acknowledgeLeaving, continueDrain, startDrain} from './drain.js';
import type {EntryEffect} from './effects.js';
import type {EntryEvent} from './events.js';
import {removeExpiredLocations} from './location-table.js';
import {applyGrant} from './lease.js';
import {stepStream} from './stream-generation.js';
import type {StepContext} from './step-context.js';
import {registerLocation, removeLocation} from './generation-locations.js';
import {applyQuarantine} from './quarantine.js';
import {processQueues} from './queues.js';
import type {EntryState} from './state.js';
import {handleHomeAnswer} from './registration.js';
import {handleCallerLeft, requestGeneration} from './streams.js';
import {
	chain,
	chainEach,
	transition,
	type EntryTransition,
} from './transition.js';
import {applyAnnouncement, expireBackends} from './view.js';

const EXPIRY_SWEEP_INTERVAL_MS = 1000;

/** Applies one event to an entry instance. Pure. */
export function stepEntry(
	state: EntryState,
	event: EntryEvent,
): EntryTransition {
	switch (event.kind) {
		case 'generation-requested': {
			return requestGeneration(state, event);
		}

		case 'home-answered': {
			return handleHomeAnswer(state, event);
		}

		case 'generation-event': {
			const {stream, event: inner, random} = event;
			const context = {now: inner.now, random};
			return chain(stepStream(state, stream, inner, context), (next) =>
				next.view === state.view
					? transition(next)
					: processQueues(next, context),
			);
		}

		case 'caller-left': {
			return chain(handleCallerLeft(state, event), (next) =>
				processQueues(next, event),
			);
		}

		case 'generation-released': {
			return transition(releaseAbandoned(state, event.generation));
		}

		case 'place-registered': {
			return transition(registerLocation(state, event.place, event.now).state);
		}

		case 'place-forgotten': {
			return transition(removeLocation(state, event.place));
		}

		case 'call-requested': {
			return requestCall(state, event);
		}

		case 'claim-answered': {
			return handleClaimAnswer(state, event);
		}

		case 'call-connected': {
			return writeConnectedCall(state, event);
		}

		case 'call-answered': {
			return handleCallAnswer(state, event);
		}

		case 'call-not-sent': {
			return handleUnsentCall(state, event);
		}

		case 'call-lost': {
			return handleLostCall(state, event);
		}

		case 'backend-announced': {
			return handleAnnouncement(state, event);
		}

		case 'lease-granted': {
			const {askedAt, grant, now} = event;
			const lease = applyGrant(state.lease, grant, askedAt);
			return transition(acknowledgeLeaving({...state, lease}, askedAt, now));
		}

		case 'quarantine-learned': {
			return applyQuarantine(state, event.quarantine, event);
		}

		case 'deaths-acknowledged': {
			const acknowledged = acknowledgeDeaths(state, event.deaths);
			return chain(
				applyQuarantine(acknowledged, event.quarantine, event),
				(next) => processQueues(next, event),
			);
		}

		case 'drain-requested': {
			return startDrain(state, event.now);
		}

		case 'ticked': {
			return handleTick(state, event);
		}
	}
}

function handleAnnouncement(
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
		processQueues(next, event),
	);
}

function runStreamTimers(
	state: EntryState,
	context: StepContext,
): EntryTransition {
	const {now} = context;
	const due = [...state.streams.values()].filter(({generationState}) => {
		const deadline = generationState && getNextDeadline(generationState);
		return deadline !== undefined && deadline <= now;
	});
	return chainEach(state, due, (next, {id}) =>
		stepStream(next, id, {kind: 'ticked', now}, context),
	);
}

/** Removes expired state at an interval, because each sweep scans all of it. */
function removeExpired(state: EntryState, now: number): EntryState {
	if (now < state.lastSweepAt + EXPIRY_SWEEP_INTERVAL_MS) {
		return state;
	}

	const {announcementLifetimeMs} = state.options;
	return {
		...state,
		view: expireBackends(state.view, now, announcementLifetimeMs),
		locations: removeExpiredLocations(state.locations, now),
		lastSweepAt: now,
	};
}

function handleTick(state: EntryState, context: StepContext): EntryTransition {
	const {now} = context;
	return [
		(next: EntryState) => runStreamTimers(next, context),
		(next: EntryState) => cancelAbandoned(next, now),
		(next: EntryState) => processQueues(next, context),
		(next: EntryState) => continueDrain(next, now),
	].reduce(chain, transition(removeExpired(state, now)));
}
