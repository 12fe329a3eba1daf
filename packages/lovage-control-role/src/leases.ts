import type {IsGuarded} from './guards.js';

/** State of an entry, as it reports it to the control group. */
export type EntryInfo = {
	id: string;
	address: string;
	dataCentre: string;
	state: 'serving' | 'leaving';
	incarnation: string;
};

/** State of a backend server, as an entry reports it. */
export type BackendView = Readonly<{
	id: string;
	service: string;
	address: string;
	incarnation: number;
	state: 'serving' | 'leaving';
	role?: string;
	models: ReadonlyArray<
		Readonly<{id: string; version: string; adapters: readonly string[]}>
	>;
}>;

/** Lease under which an entry may use a configuration version; only the leader has it. */
export type EntryLease = Readonly<{
	entry: EntryInfo;
	appliedVersion: number;
	expiresAt: number;
	backends: readonly BackendView[];
}>;

/** Duration of a lease in milliseconds and maximum relative drift of two clocks. */
export type LeaseSettings = Readonly<{leaseMs: number; driftShare: number}>;

/** Time, settings and safety checks with which leases are evaluated. */
export type LeaseCheck = Readonly<{
	settings: LeaseSettings;
	now: number;
	isGuarded: IsGuarded;
}>;

/** Leases granted by a leader, by entry and incarnation. */
export type LeaseTable = Readonly<{
	/** Time at which this replica became leader. */
	since: number;
	leases: Readonly<Record<string, EntryLease>>;
}>;

/** Returns the longest time that a lease can last on the leader's clock. */
export function getMaxLeaseMs({leaseMs, driftShare}: LeaseSettings): number {
	return Math.ceil(leaseMs * (1 + driftShare));
}

/** Creates the lease table of a new leader. */
export function createLeaseTable(now: number): LeaseTable {
	return {since: now, leases: {}};
}

function isActiveLease(lease: EntryLease, now: number): boolean {
	return now < lease.expiresAt;
}

/** Records that an entry's lease was renewed. */
export function recordLease(
	table: LeaseTable,
	lease: Omit<EntryLease, 'expiresAt'>,
	settings: LeaseSettings,
	now: number,
): LeaseTable {
	const expiresAt = now + getMaxLeaseMs(settings);
	// A paused earlier process of the same entry may still hold its own lease.
	const key = `${lease.entry.id}/${lease.entry.incarnation}`;
	return {...table, leases: {...table.leases, [key]: {...lease, expiresAt}}};
}

/** Removes the leases that expired at least `retentionMs` ago. */
export function removeExpiredLeases(
	table: LeaseTable,
	now: number,
	retentionMs: number,
): LeaseTable {
	const kept = Object.entries(table.leases).filter(
		([, {expiresAt}]) => now < expiresAt + retentionMs,
	);
	return kept.length === Object.keys(table.leases).length
		? table
		: {...table, leases: Object.fromEntries(kept)};
}

/** Lists the leases that an entry may still be using. */
export function listActiveLeases(
	table: LeaseTable,
	now: number,
): readonly EntryLease[] {
	return Object.values(table.leases).filter((lease) =>
		isActiveLease(lease, now),
	);
}

/**
 * Tells whether no entry can still use a version below `version`: each active
 * lease has reached it, and the leases granted by earlier leaders have expired.
 */
export function isInForceEverywhere(
	table: LeaseTable,
	version: number,
	{settings, now, isGuarded}: LeaseCheck,
): boolean {
	const haveOldLeasesEnded =
		now >= table.since + getMaxLeaseMs(settings) ||
		!isGuarded('predecessorLeases');
	const areAllCurrent = listActiveLeases(table, now).every(
		({appliedVersion}) => appliedVersion >= version,
	);
	return (haveOldLeasesEnded && areAllCurrent) || !isGuarded('waitForLeases');
}
