import {createTransition, type Transition} from '@lovagevalve/core';
import {mergeDeath} from './deaths.js';
import {evaluateDueDeaths} from './evaluate.js';
import {dropExpired} from './retention.js';
import type {QuarantineEvent, QuarantineState} from './types.js';
import {summarizeQuarantine} from './summary.js';

/** Applies one event to the quarantine. It is pure, so that all replicas reach the same state. */
export function stepQuarantine(
	state: QuarantineState,
	event: QuarantineEvent,
): Transition<QuarantineState, never> {
	const advanced = {...state, now: Math.max(state.now, event.now)};
	const evaluated = evaluateDueDeaths(advanced);
	const updated =
		event.kind === 'deaths-reported'
			? applyReport(evaluated, event)
			: evaluated;
	return createTransition(updateVersion(state, dropExpired(updated)));
}

function applyReport(
	state: QuarantineState,
	event: Extract<QuarantineEvent, {kind: 'deaths-reported'}>,
): QuarantineState {
	const cleared = clearCompleted(state, event.completed);
	return event.deaths.reduce(
		(current, death) => mergeDeath(current, death),
		cleared,
	);
}

function clearCompleted(
	state: QuarantineState,
	completed: readonly string[],
): QuarantineState {
	if (completed.length === 0 || !state.options.guards.clearCompleted) {
		return state;
	}

	const done = new Set(completed);
	const records = Object.entries(state.records).filter(
		([digest]) => !done.has(digest),
	);
	const deaths = state.deaths.map((death) => ({
		...death,
		digests: death.digests.filter((digest) => !done.has(digest)),
	}));
	return {...state, records: Object.fromEntries(records), deaths};
}

function updateVersion(
	before: QuarantineState,
	after: QuarantineState,
): QuarantineState {
	const isSame =
		JSON.stringify(summarizeQuarantine(before)) ===
		JSON.stringify(summarizeQuarantine(after));
	return isSame ? after : {...after, version: before.version + 1};
}
