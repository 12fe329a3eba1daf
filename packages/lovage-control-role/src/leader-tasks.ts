import type {ClaimsState} from '@lovagevalve/claims';
import {createHolderReadId} from './answer-requests.js';
import type {ControlSettings, LeaderState} from './control-types.js';
import {areAllGuardsEnabled} from './guards.js';
import {proposeInternal, runRaft} from './handle-raft.js';
import type {StateMachine} from './state-machine-types.js';
import {getMaxLeaseMs, removeExpiredLeases} from './leases.js';
import {mergeBackends, planOrders, updateOrders} from './order-plan.js';
import {canSendOrder} from './order-rights.js';
import type {OrderEntry} from './order-types.js';
import {
	emit,
	type StepContext,
	update,
	updateLeaderState,
} from './step-context.js';

const LEADER_TASKS_INTERVAL_MS = 500;
/** How often expired quarantine records are removed. */
const EXPIRY_INTERVAL_MS = 60_000;
/** How long an expired lease stays visible in progress reports. */
const EXPIRED_LEASE_RETENTION_MS = 60_000;
/** Maximum number of claims that one `lapse` command expires. */
const MAX_CLAIMS_PER_COMMAND = 256;

/** Records when this leader first saw each open claim; drops closed claims. */
export function recordOpenClaims(
	claims: ClaimsState,
	firstSeenAt: Readonly<Record<string, number>>,
	now: number,
): Readonly<Record<string, number>> {
	return Object.fromEntries(
		[...claims.open.keys()].map((claim) => [claim, firstSeenAt[claim] ?? now]),
	);
}

/** Returns claims that this leader has seen open for longer than `claimHoldMs`. */
export function findExpiredClaims(
	firstSeenAt: Readonly<Record<string, number>>,
	{claimHoldMs, lease}: ControlSettings,
	now: number,
): readonly string[] {
	const heldMs = claimHoldMs * (1 + lease.driftShare);
	return Object.entries(firstSeenAt)
		.filter(([, at]) => now >= at + heldMs)
		.map(([claim]) => claim)
		.slice(0, MAX_CLAIMS_PER_COMMAND);
}

function expireClaims(
	context: StepContext,
	leaderState: LeaderState,
): StepContext {
	const {stateMachine, settings} = context.state;
	const claimsFirstSeenAt = recordOpenClaims(
		stateMachine.claims,
		leaderState.claimsFirstSeenAt,
		context.now,
	);
	const updated = updateLeaderState(context, (current) => ({
		...current,
		claimsFirstSeenAt,
	}));
	const claims = findExpiredClaims(claimsFirstSeenAt, settings, context.now);
	return claims.length === 0
		? updated
		: proposeInternal(updated, {
				kind: 'claim',
				command: {kind: 'lapse', claims},
			});
}

function isQuarantineUpdateDue(
	{quarantine}: StateMachine,
	wall: number,
): boolean {
	const {deaths, options, records, convicted, now} = quarantine;
	const isWindowOver = deaths.some(
		({verdict, reportedAt}) =>
			verdict === 'pending' && wall >= reportedAt + options.windowMs,
	);
	const hasRecords =
		Object.keys(records).length + Object.keys(convicted).length > 0;
	return isWindowOver || (hasRecords && wall >= now + EXPIRY_INTERVAL_MS);
}

function updateQuarantine(context: StepContext): StepContext {
	return isQuarantineUpdateDue(context.state.stateMachine, context.wall)
		? proposeInternal(context, {kind: 'judge-deaths'})
		: context;
}

function updateLeases(context: StepContext): StepContext {
	const {lease} = context.state.settings;
	return updateLeaderState(context, (leaderState) => ({
		...leaderState,
		leases: removeExpiredLeases(
			leaderState.leases,
			context.now,
			getMaxLeaseMs(lease) + EXPIRED_LEASE_RETENTION_MS,
		),
	}));
}

function sendOrder(
	context: StepContext,
	entry: OrderEntry,
	leaderState: LeaderState,
): StepContext {
	const {stateMachine, settings} = context.state;
	const sent = updateLeaderState(context, (leaderState) => ({
		...leaderState,
		orders: {
			...leaderState.orders,
			entries: leaderState.orders.entries.map((known) =>
				known.order === entry.order
					? {...known, state: 'sent', at: context.now}
					: known,
			),
		},
	}));
	return emit(sent, {
		kind: 'send-order',
		address: entry.address,
		order: entry.order,
		fencing: stateMachine.orders.fencing,
		sendBefore: leaderState.orders.confirmedAt + settings.orders.holderLeaseMs,
		action: entry.action,
	});
}

/** Sends the pending orders that this leader may send now. */
export function sendOrders(context: StepContext): StepContext {
	const {leaderState, stateMachine, settings} = context.state;
	if (leaderState === undefined) {
		return context;
	}

	const {orders} = leaderState;
	return orders.entries
		.filter(
			({state, checksFencing}) =>
				state === 'pending' &&
				canSendOrder(orders, {
					grant: stateMachine.orders,
					settings: settings.orders,
					checksFencing,
					now: context.now,
					isGuarded: areAllGuardsEnabled,
				}),
		)
		.reduce((next, entry) => sendOrder(next, entry, leaderState), context);
}

function reconcileBackends(context: StepContext): StepContext {
	const {stateMachine, settings, leaderState} = context.state;
	const {configuration} = stateMachine;
	if (configuration === undefined || leaderState === undefined) {
		return context;
	}

	const backends = mergeBackends(leaderState.leases);
	const updated = updateOrders(
		leaderState.orders,
		backends,
		settings.orders,
		context.now,
	);
	const isHolder = stateMachine.orders.holder === updated.holder;
	const orders = isHolder
		? planOrders(updated, {
				configuration,
				backends,
				fencing: stateMachine.orders.fencing,
				settings: settings.orders,
				now: context.now,
				isGuarded: areAllGuardsEnabled,
			})
		: updated;
	const planned = update(context, {leaderState: {...leaderState, orders}});
	const isPending = orders.entries.some(({state}) => state === 'pending');
	return isPending
		? runRaft(sendOrders(planned), {
				kind: 'read-requested',
				read: createHolderReadId(context.now),
			})
		: planned;
}

/** Periodic tasks of the leader: claims, quarantine, leases and orders. */
export function runLeaderTasks(context: StepContext): StepContext {
	const {leaderState} = context.state;
	if (leaderState === undefined || context.now < leaderState.nextTasksAt) {
		return context;
	}

	const nextTasksAt = context.now + LEADER_TASKS_INTERVAL_MS;
	const next = updateLeaderState(context, (current) => ({
		...current,
		nextTasksAt,
	}));
	const updated = updateQuarantine(expireClaims(next, leaderState));
	return reconcileBackends(updateLeases(updated));
}
