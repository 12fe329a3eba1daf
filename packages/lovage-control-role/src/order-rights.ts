import type {IsGuarded} from './guards.js';
import type {OrderGrant} from './machine-types.js';
import type {OrderBook, OrderTerms} from './order-types.js';

/** What the right to give one order depends on. */
export type OrderQuestion = Readonly<{
	grant: OrderGrant;
	terms: OrderTerms;
	/** Whether the backend server refuses old fencing numbers. */
	checksFencing: boolean;
	now: number;
	isGuarded: IsGuarded;
}>;

/** Longest time that an earlier holder's orders can still arrive. */
export function boundOldHolder(terms: OrderTerms): number {
	const {holderLeaseMs, deliverWithinMs, driftShare} = terms;
	return Math.ceil((holderLeaseMs + deliverWithinMs) * (1 + driftShare));
}

/** Creates the book of a new leader. */
export function createOrderBook(holder: string, now: number): OrderBook {
	return {
		holder,
		since: now,
		confirmedAt: Number.NEGATIVE_INFINITY,
		nextOrder: 1,
		entries: [],
	};
}

/** Notes that the quorum confirmed a read that began at `startedAt`. */
export function confirmHolder(book: OrderBook, startedAt: number): OrderBook {
	return {...book, confirmedAt: Math.max(book.confirmedAt, startedAt)};
}

/**
 * Tells whether this leader may give an order now. A backend server that
 * ignores fencing numbers gets none before an earlier holder's have run out.
 */
export function mayOrder(
	book: OrderBook,
	{grant, terms, checksFencing, now, isGuarded}: OrderQuestion,
): boolean {
	const isHolder =
		grant.holder === book.holder || !isGuarded('singleOrderHolder');
	const isConfirmed =
		now < book.confirmedAt + terms.holderLeaseMs ||
		!isGuarded('confirmBeforeOrder');
	const isOldHolderOver =
		checksFencing ||
		now >= book.since + boundOldHolder(terms) ||
		!isGuarded('waitOutOldHolder');
	return isHolder && isConfirmed && isOldHolderOver;
}
