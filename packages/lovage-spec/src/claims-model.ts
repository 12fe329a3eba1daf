import {
	CLAIM_GUARDS,
	encodeClaims,
	type IsGuardEnabled,
} from '@lovagevalve/claims';
import {listEvents} from './claims-model-events.js';
import {createStep} from './claims-model-step.js';
import {
	createInitialWorld,
	RESEND_REQUESTS,
	CONFLICTING_REQUESTS,
	type World,
	type WorldEvent,
} from './claims-model-world.js';
import {explore} from './explore.js';
import {type Model, type ModelResult, runSequentially} from './model.js';

function findViolation(state: World): string | undefined {
	if (state.writes.length > 1) {
		return 'a request runs at most once';
	}

	const isRunAfterNotRun = state.writes.some((i) => {
		const {attempt} = state.arrivals[i]!.dispatch.request;
		return state.told.notRun >= attempt;
	});
	return isRunAfterNotRun
		? 'what was told "not run" never runs'
		: state.violation;
}

function createKey(state: World): string {
	const {records, open, checks, spent, horizon, nextClaim} = encodeClaims(
		state.claims,
	);
	return JSON.stringify({
		...state,
		claims: {records, open, checks, spent, horizon, nextClaim},
		arrivals: state.arrivals.map(({dispatch, ...rest}) => ({
			...rest,
			phase: dispatch.phase,
		})),
	});
}

function run(disabledGuards: readonly string[]): ModelResult {
	const isGuardEnabled: IsGuardEnabled = (guard) =>
		!disabledGuards.includes(guard);
	const explorations = [CONFLICTING_REQUESTS, RESEND_REQUESTS].map(
		(requests) => () =>
			explore<World, WorldEvent>({
				initial: createInitialWorld(requests),
				events: listEvents,
				step: createStep(isGuardEnabled),
				findViolation,
				createKey,
			}),
	);
	return runSequentially(explorations);
}

/** Claims and dispatch of requests that must run at most once. */
export const claimsModel: Model = {
	name: 'claims',
	guards: CLAIM_GUARDS,
	bounds:
		'one request id at two entries: a resend and one more attempt, or two bodies; each arrival stops at any step or is late, answers are lost, one settlement is repeated, the retention ends once',
	run,
};
