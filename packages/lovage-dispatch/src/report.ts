import type {BackendRecord} from './backend-table.js';
import type {Crash} from './crash-history.js';
import type {BackendLoad} from './load.js';
import type {RetryCounts} from './retry-budget.js';

/** Whether an entry may be named to callers. */
export type EntryStatus = 'starting' | 'ready' | 'leaving';

/** A record whose time of hearing is told as an age, as clocks differ. */
export type AgedRecord = Omit<BackendRecord, 'heardAt'> &
	Readonly<{ageMs: number}>;

/** Revision of the backend servers that a control instance has told. */
export type KnownRevision = Readonly<{
	/** Start of the control instance; its revisions begin anew with each. */
	epoch: number;
	revision: number;
}>;

/** Work by backend server: running requests, prompt tokens awaited, tokens in memory. */
export type CompactLoads = Readonly<
	Record<string, readonly [number, number, number]>
>;

/** What an entry tells each control instance, several times a second. */
export type EntryReport = Readonly<{
	entry: string;
	/** Address that callers connect to. */
	address: string;
	dataCentre: string;
	standing: EntryStatus;
	/** Version of the configuration in force; 0 for none. */
	version: number;
	loads: CompactLoads;
	/** Requests and retries by service within the window of the budget. */
	retries: Readonly<Record<string, RetryCounts>>;
	crashes: readonly Crash[];
	/** Absent if all backend servers are wanted. */
	known?: KnownRevision;
	/** One control instance at a time tells what doesn't depend on which is asked. */
	wantsOverview: boolean;
	/** Wants to know when each backend server was heard. */
	wantsAges: boolean;
}>;

/** The part of a report that is the same for every control instance. */
export type SharedEntryReport = Omit<
	EntryReport,
	'known' | 'wantsOverview' | 'wantsAges'
>;

/** What every control instance knows alike. */
export type ClusterOverview = Readonly<{
	/** Addresses of the entries that callers may connect to. */
	serving: readonly string[];
	/** Work of the other entries. */
	loads: CompactLoads;
	/** Requests and retries of the other entries by service. */
	retries: Readonly<Record<string, RetryCounts>>;
}>;

/** What a control instance answers. */
export type ControlReport = Readonly<{
	/** Version of the newest committed configuration known here; 0 for none. */
	version: number;
	/** Addresses of the control instances for traffic between instances. */
	controls: readonly string[];
	/** Entries heard of lately. */
	entries: number;
	known: KnownRevision;
	/** Backend servers that have changed since the known revision. */
	backends: readonly AgedRecord[];
	/** Time since each backend server that serves was heard, in milliseconds. */
	agesMs?: Readonly<Record<string, number>>;
	overview?: ClusterOverview;
	convicted: readonly string[];
}>;

/** Turns work by backend server into its form between instances. */
export function toCompactLoads(
	loads: Readonly<Record<string, BackendLoad>>,
): CompactLoads {
	return Object.fromEntries(
		Object.entries(loads).map(([id, load]) => [
			id,
			[load.running, load.prefillTokens, load.memoryTokens],
		]),
	);
}

/** Turns work from another instance into one of this instance's form. */
export function fromCompactLoads(
	loads: CompactLoads,
): Readonly<Record<string, BackendLoad>> {
	return Object.fromEntries(
		Object.entries(loads).map(
			([id, [running, prefillTokens, memoryTokens]]) => [
				id,
				{running, prefillTokens, memoryTokens},
			],
		),
	);
}

/** Turns a record into its form between instances. */
export function toAgedRecord(record: BackendRecord, now: number): AgedRecord {
	const {heardAt, ...rest} = record;
	return {...rest, ageMs: now - heardAt};
}

/** Turns a record from another instance into one of this instance's time. */
export function fromAgedRecord(record: AgedRecord, now: number): BackendRecord {
	const {ageMs, ...rest} = record;
	return {...rest, heardAt: now - ageMs};
}
