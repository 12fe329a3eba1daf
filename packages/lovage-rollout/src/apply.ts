import {areAllRolloutGuardsEnabled, type IsRolloutGuarded} from './guards.js';
import type {RolloutCommand, RolloutState, ServiceRollout} from './state.js';

/** What becomes of an order. */
export type OrderOutcome =
	| 'accepted'
	/** The same order is the newest one of the service. */
	| 'repeated'
	/** An order for another version is running. */
	| 'conflicting';

/** Decides about an order. */
export function judgeOrder(
	state: RolloutState,
	{service, to}: Readonly<{service: string; to: string}>,
): OrderOutcome {
	const order = state.get(service)?.order;
	if (order?.to === to) {
		return 'repeated';
	}

	return order?.stage === 'running' ? 'conflicting' : 'accepted';
}

function applyChange(
	known: ServiceRollout,
	{
		to,
		ageMs,
		stage,
		step,
	}: Extract<RolloutCommand, Readonly<{kind: 'rollout-change'}>>,
	isGuarded: IsRolloutGuarded,
): ServiceRollout {
	const {order} = known;
	// The change of a leader that was deposed meanwhile must not undo a newer one.
	if (
		order === undefined ||
		(order.to !== to && isGuarded('verdictOnSameVersion')) ||
		(order.stage !== 'running' && isGuarded('endedIsFinal')) ||
		(step < order.step && isGuarded('stepNeverFalls'))
	) {
		return known;
	}

	const changed = {...known, order: {...order, ageMs, stage, step}};
	switch (stage) {
		case 'running': {
			return changed;
		}

		case 'succeeded': {
			return {...changed, current: to};
		}

		case 'reverted': {
			return {
				...changed,
				allowed: known.allowed.filter(
					(version) => version !== to || version === known.current,
				),
			};
		}
	}
}

function isOrderApplicable(
	outcome: OrderOutcome,
	isGuarded: IsRolloutGuarded,
): boolean {
	switch (outcome) {
		case 'accepted': {
			return true;
		}

		case 'repeated': {
			return !isGuarded('repeatChangesNothing');
		}

		case 'conflicting': {
			return !isGuarded('oneRunningOrder');
		}
	}
}

/** Applies a change; one that the state doesn't admit changes nothing. */
export function applyRolloutCommand(
	state: RolloutState,
	command: RolloutCommand,
): RolloutState {
	return applyGuardedCommand(state, command, areAllRolloutGuardsEnabled);
}

/** Like {@link applyRolloutCommand}, with the given safety checks only. */
export function applyGuardedCommand(
	state: RolloutState,
	command: RolloutCommand,
	isGuarded: IsRolloutGuarded,
): RolloutState {
	const {service} = command;
	const known = state.get(service);
	switch (command.kind) {
		case 'rollout-first': {
			const {version} = command;
			if (known?.current !== undefined) {
				return state;
			}

			const allowed = new Set([version, ...(known?.allowed ?? [])]);
			return new Map(state).set(service, {
				...known,
				current: version,
				allowed: [...allowed],
			});
		}

		case 'rollout-order': {
			const {to, durationMs} = command;
			if (!isOrderApplicable(judgeOrder(state, command), isGuarded)) {
				return state;
			}

			return new Map(state).set(service, {
				...known,
				allowed: [...new Set([...(known?.allowed ?? []), to])],
				order: {to, durationMs, ageMs: 0, stage: 'running', step: 0},
			});
		}

		case 'rollout-change': {
			return known === undefined
				? state
				: new Map(state).set(service, applyChange(known, command, isGuarded));
		}
	}
}
