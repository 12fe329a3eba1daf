import type {IsGuarded} from './guards.js';
import type {OrderGrant} from './state-machine-types.js';
import type {OrderTracker, OrderSettings} from './order-types.js';

/** Conditions that decide whether an order may be sent. */
export type OrderConditions = Readonly<{
	grant: OrderGrant;
	settings: OrderSettings;
	/** Whether the backend server rejects outdated fencing numbers. */
	checksFencing: boolean;
	now: number;
	isGuarded: IsGuarded;
}>;

/** Returns how long orders of an earlier holder can still arrive. */
export function getMaxOldOrderLifetimeMs(settings: OrderSettings): number {
	const {holderLeaseMs, deliveryTimeoutMs, driftShare} = settings;
	return Math.ceil((holderLeaseMs + deliveryTimeoutMs) * (1 + driftShare));
}

/** Creates the order tracker of a new leader. */
export function createOrderTracker(holder: string, now: number): OrderTracker {
	return {
		holder,
		since: now,
		confirmedAt: Number.NEGATIVE_INFINITY,
		nextOrder: 1,
		entries: [],
	};
}

/** Records that the quorum confirmed a read started at `startedAt`. */
export function recordConfirmedRead(
	tracker: OrderTracker,
	startedAt: number,
): OrderTracker {
	return {...tracker, confirmedAt: Math.max(tracker.confirmedAt, startedAt)};
}

/**
 * Tells whether this leader may send an order now. A backend server that does
 * not check fencing numbers gets no order until orders of an earlier holder can
 * no longer arrive.
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
