import {createTransition, type Transition} from '@lovagevalve/core';
import {mergeDeath} from './deaths.js';
import {judgeDue} from './judge.js';
import {forgetOld} from './retention.js';
import type {QuarantineEvent, QuarantineState} from './types.js';
import {viewQuarantine} from './view.js';

/** Applies one event to the quarantine. Pure and deterministic. */
export function stepQuarantine(
	state: QuarantineState,
	event: QuarantineEvent,
): Transition<QuarantineState, never> {
	const timed = {...state, now: Math.max(state.now, event.now)};
	const settled = judgeDue(timed);
	const taken =
		event.kind === 'deaths-reported' ? takeReport(settled, event) : settled;
	return createTransition(countVersion(state, forgetOld(taken)));
}

function takeReport(
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

function countVersion(
	before: QuarantineState,
	after: QuarantineState,
): QuarantineState {
	const isSame =
		JSON.stringify(viewQuarantine(before)) ===
		JSON.stringify(viewQuarantine(after));
	return isSame ? after : {...after, version: before.version + 1};
}
