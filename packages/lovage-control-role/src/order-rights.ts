import type {IsGuarded} from './guards.js';
import type {OrderGrant} from './state-machine-types.js';
import type {OrderTracker, OrderSettings} from './order-types.js';

/** What the right to give one order depends on. */
export type OrderConditions = Readonly<{
	grant: OrderGrant;
	settings: OrderSettings;
	/** Whether the backend server refuses old fencing numbers. */
	checksFencing: boolean;
	now: number;
	isGuarded: IsGuarded;
}>;

/** Longest time that an earlier holder's orders can still arrive. */
export function getMaxOldOrderLifetimeMs(settings: OrderSettings): number {
	const {holderLeaseMs, deliveryTimeoutMs, driftShare} = settings;
	return Math.ceil((holderLeaseMs + deliveryTimeoutMs) * (1 + driftShare));
}

/** Creates the book of a new leader. */
export function createOrderTracker(holder: string, now: number): OrderTracker {
	return {
		holder,
		since: now,
		confirmedAt: Number.NEGATIVE_INFINITY,
		nextOrder: 1,
		entries: [],
	};
}

/** Notes that the quorum confirmed a read that began at `startedAt`. */
export function recordConfirmedRead(
	tracker: OrderTracker,
	startedAt: number,
): OrderTracker {
	return {...tracker, confirmedAt: Math.max(tracker.confirmedAt, startedAt)};
}

/**
 * Tells whether this leader may give an order now. A backend server that
 * ignores fencing numbers gets none before an earlier holder's have run out.
 */
export function canSendOrder(
	tracker: OrderTracker,
	{grant, settings, checksFencing, now, isGuarded}: OrderConditions,
): boolean {
	const isHolder =
		grant.holder === tracker.holder || !isGuarded('singleOrderHolder');
	const isConfirmed =
		now < tracker.confirmedAt + settings.holderLeaseMs ||
		!isGuarded('confirmBeforeOrder');
	const haveOldOrdersExpired =
		checksFencing ||
		now >= tracker.since + getMaxOldOrderLifetimeMs(settings) ||
		!isGuarded('waitOutOldHolder');
	return isHolder && isConfirmed && haveOldOrdersExpired;
}
