import type {EntryOptions} from './options.js';
import type {EntryPeer, Lease} from './lease.js';
import {rankByRendezvous} from './rendezvous.js';

const MAX_ADDRESSES = 5;

function listServingEntries(
	options: EntryOptions,
	lease: Lease,
	isLeaving: boolean,
): readonly EntryPeer[] {
	const others = lease.entries.filter(
		(entry) => entry.id !== options.id && entry.state === 'serving',
	);
	const self: EntryPeer = {
		id: options.id,
		address: options.address,
		dataCentre: options.dataCentre,
		incarnation: options.incarnation,
		state: 'serving',
	};
	return isLeaving ? others : [self, ...others];
}

/**
 * Lists the entry addresses that a customer should use. Entries in this entry's
 * data centre come first; within each group the order depends on the customer,
 * which spreads customers over the entries.
 */
export function listAddresses(
	options: EntryOptions,
	lease: Lease,
	isLeaving: boolean,
	customer: string,
): readonly string[] {
	const serving = listServingEntries(options, lease, isLeaving);
	const isSameDataCentre = (entry: EntryPeer) =>
		entry.dataCentre === options.dataCentre;
	const rank = (entries: readonly EntryPeer[]) =>
		rankByRendezvous(
			entries.map((entry) => entry.address),
			customer,
		);
	return [
		...rank(serving.filter(isSameDataCentre)),
		...rank(serving.filter((entry) => !isSameDataCentre(entry))),
	].slice(0, MAX_ADDRESSES);
}

/**
 * Entries that store the location of a request's generation. With three, one
 * still has it when an entry joins and another dies at the same time.
 */
const HOME_ENTRIES_PER_REQUEST = 3;

/**
 * Returns the entries that store the location of a request's generation. The
 * first one decides which of two generations of the same request is kept.
 */
export function rankHomeEntries(
	options: EntryOptions,
	lease: Lease,
	isLeaving: boolean,
	key: string,
): readonly EntryPeer[] {
	const serving = listServingEntries(options, lease, isLeaving);
	const ranked = rankByRendezvous(
		serving.map((entry) => entry.id),
		key,
	);
	return ranked
		.slice(0, HOME_ENTRIES_PER_REQUEST)
		.flatMap((id) => serving.filter((entry) => entry.id === id));
}
