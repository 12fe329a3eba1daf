import type {IsGuarded} from './guards.js';

/** State of an entry as it tells the control group. */
export type EntryInfo = {
	id: string;
	address: string;
	dataCentre: string;
	state: 'serving' | 'leaving';
	incarnation: string;
};

/** Backend server as an entry sees it. */
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

/** An entry's right to work under a version; kept by the leader only. */
export type EntryLease = Readonly<{
	entry: EntryInfo;
	appliedVersion: number;
	expiresAt: number;
	backends: readonly BackendView[];
}>;

/** How long a lease lasts, in milliseconds, and how far clocks may drift apart. */
export type LeaseSettings = Readonly<{leaseMs: number; driftShare: number}>;

/** When and by which rules a table is read. */
export type LeaseCheck = Readonly<{
	settings: LeaseSettings;
	now: number;
	isGuarded: IsGuarded;
}>;

/** Leases that a leader has given, by entry and incarnation. */
export type LeaseTable = Readonly<{
	/** When this replica became leader. */
	since: number;
	leases: Readonly<Record<string, EntryLease>>;
}>;

/** Longest time on the leader's clock that a lease can last. */
export function getMaxLeaseMs({leaseMs, driftShare}: LeaseSettings): number {
	return Math.ceil(leaseMs * (1 + driftShare));
}

/** Creates the table of a new leader. */
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
	// An earlier process of the same entry may be paused and hold its own lease.
	const key = `${lease.entry.id}/${lease.entry.incarnation}`;
	return {...table, leases: {...table.leases, [key]: {...lease, expiresAt}}};
}

/** Drops the leases that ended long enough ago to be of no interest. */
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

/** Leases that may still be in use. */
export function listActiveLeases(
	table: LeaseTable,
	now: number,
): readonly EntryLease[] {
	return Object.values(table.leases).filter((lease) =>
		isActiveLease(lease, now),
	);
}

/**
 * Tells whether no entry can work under a version below `version`: each
 * outstanding lease is at it, and the leases of earlier leaders have ended.
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
