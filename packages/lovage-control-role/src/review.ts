import type {ClaimsState} from '@lovagevalve/claims';
import {createHolderRead} from './answer-requests.js';
import type {ControlSettings, Leadership} from './control-types.js';
import {isAlwaysGuarded} from './guards.js';
import {proposeInternal, runRaft} from './handle-raft.js';
import type {MachineState} from './machine-types.js';
import {boundLease, forgetLeases} from './leases.js';
import {mergeBackends, planOrders, reviewOrders} from './order-plan.js';
import {mayOrder} from './order-rights.js';
import type {OrderEntry} from './order-types.js';
import {emit, type Turn, update, updateLeadership} from './turn.js';

const REVIEW_INTERVAL_MS = 500;
/** How often records of the quarantine are looked at for their age. */
const FORGET_INTERVAL_MS = 60_000;
/** How long the lease of an entry that went away is shown. */
const SHOW_ENDED_MS = 60_000;
/** Claims that one command makes lapse. */
const MAX_LAPSES = 256;

/** Notes when the leader first saw each open claim. */
export function noteClaims(
	claims: ClaimsState,
	seen: Readonly<Record<string, number>>,
	now: number,
): Readonly<Record<string, number>> {
	return Object.fromEntries(
		[...claims.open.keys()].map((claim) => [claim, seen[claim] ?? now]),
	);
}

/** Claims whose holder's time has passed on this leader's clock. */
export function findLapsed(
	seen: Readonly<Record<string, number>>,
	{claimHoldMs, lease}: ControlSettings,
	now: number,
): readonly string[] {
	const heldMs = claimHoldMs * (1 + lease.driftShare);
	return Object.entries(seen)
		.filter(([, at]) => now >= at + heldMs)
		.map(([claim]) => claim)
		.slice(0, MAX_LAPSES);
}

function reviewClaims(turn: Turn, leadership: Leadership): Turn {
	const {machine, settings} = turn.state;
	const claimsSeen = noteClaims(
		machine.claims,
		leadership.claimsSeen,
		turn.now,
	);
	const noted = updateLeadership(turn, (current) => ({...current, claimsSeen}));
	const claims = findLapsed(claimsSeen, settings, turn.now);
	return claims.length === 0
		? noted
		: proposeInternal(noted, {
				kind: 'claim',
				command: {kind: 'lapse', claims},
			});
}

function isJudgementDue({quarantine}: MachineState, wall: number): boolean {
	const {deaths, options, records, convicted, now} = quarantine;
	const isWindowOver = deaths.some(
		({verdict, reportedAt}) =>
			verdict === 'pending' && wall >= reportedAt + options.windowMs,
	);
	const holdsRecords =
		Object.keys(records).length + Object.keys(convicted).length > 0;
	return isWindowOver || (holdsRecords && wall >= now + FORGET_INTERVAL_MS);
}

function reviewQuarantine(turn: Turn): Turn {
	return isJudgementDue(turn.state.machine, turn.wall)
		? proposeInternal(turn, {kind: 'judge-deaths'})
		: turn;
}

function reviewLeases(turn: Turn): Turn {
	const {lease} = turn.state.settings;
	return updateLeadership(turn, (leadership) => ({
		...leadership,
		leases: forgetLeases(
			leadership.leases,
			turn.now,
			boundLease(lease) + SHOW_ENDED_MS,
		),
	}));
}

function sendOrder(
	turn: Turn,
	entry: OrderEntry,
	leadership: Leadership,
): Turn {
	const {machine, settings} = turn.state;
	const sent = updateLeadership(turn, (leadership) => ({
		...leadership,
		orders: {
			...leadership.orders,
			entries: leadership.orders.entries.map((known) =>
				known.order === entry.order
					? {...known, state: 'sent', at: turn.now}
					: known,
			),
		},
	}));
	return emit(sent, {
		kind: 'send-order',
		address: entry.address,
		order: entry.order,
		fencing: machine.orders.fencing,
		sendBefore: leadership.orders.confirmedAt + settings.orders.holderLeaseMs,
		action: entry.action,
	});
}

/** Gives the pending orders that this leader has the right to give now. */
export function sendOrders(turn: Turn): Turn {
	const {leadership, machine, settings} = turn.state;
	if (leadership === undefined) {
		return turn;
	}

	const {orders} = leadership;
	return orders.entries
		.filter(
			({state, checksFencing}) =>
				state === 'pending' &&
				mayOrder(orders, {
					grant: machine.orders,
					terms: settings.orders,
					checksFencing,
					now: turn.now,
					isGuarded: isAlwaysGuarded,
				}),
		)
		.reduce((next, entry) => sendOrder(next, entry, leadership), turn);
}

function reviewBackends(turn: Turn): Turn {
	const {machine, settings, leadership} = turn.state;
	const {configuration} = machine;
	if (configuration === undefined || leadership === undefined) {
		return turn;
	}

	const backends = mergeBackends(leadership.leases);
	const reviewed = reviewOrders(
		leadership.orders,
		backends,
		settings.orders,
		turn.now,
	);
	const isHolder = machine.orders.holder === reviewed.holder;
	const orders = isHolder
		? planOrders(reviewed, {
				configuration,
				backends,
				fencing: machine.orders.fencing,
				terms: settings.orders,
				now: turn.now,
				isGuarded: isAlwaysGuarded,
			})
		: reviewed;
	const planned = update(turn, {leadership: {...leadership, orders}});
	const isPending = orders.entries.some(({state}) => state === 'pending');
	return isPending
		? runRaft(sendOrders(planned), {
				kind: 'read-requested',
				read: createHolderRead(turn.now),
			})
		: planned;
}

/** The leader's regular look at claims, leases and orders. */
export function review(turn: Turn): Turn {
	const {leadership} = turn.state;
	if (leadership === undefined || turn.now < leadership.reviewAt) {
		return turn;
	}

	const reviewAt = turn.now + REVIEW_INTERVAL_MS;
	const next = updateLeadership(turn, (current) => ({...current, reviewAt}));
	const reviewed = reviewQuarantine(reviewClaims(next, leadership));
	return reviewBackends(reviewLeases(reviewed));
}
