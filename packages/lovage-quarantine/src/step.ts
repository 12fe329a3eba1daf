import {createTransition, type Transition} from '@lovagevalve/core';
import {mergeDeath} from './deaths.js';
import {clearCompleted, clearSound} from './clear.js';
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
	return createTransition(
		updateVersion(state, dropExpired(applyEvent(evaluated, event))),
	);
}

function applyEvent(
	state: QuarantineState,
	event: QuarantineEvent,
): QuarantineState {
	switch (event.kind) {
		case 'ticked': {
			return state;
		}

		case 'deaths-reported': {
			const cleared = clearSound(
				clearCompleted(state, event.completed),
				event.sound ?? {},
			);
			return event.deaths.reduce(
				(current, death) => mergeDeath(current, death),
				cleared,
			);
		}

		case 'convictions-received': {
			const convicted = {...event.convicted, ...state.convicted};
			return {...state, convicted};
		}
	}
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
