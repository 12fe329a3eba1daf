import type {BackendRecord} from './backend-table.js';
import type {Crash} from './crash-ledger.js';
import type {BackendLoad} from './load.js';

/** Whether an entry may be named to callers. */
export type EntryStanding = 'starting' | 'ready' | 'leaving';

/** A record whose time of hearing is told as an age, as clocks differ. */
export type AgedRecord = Omit<BackendRecord, 'heardAt'> &
	Readonly<{ageMs: number}>;

/** What an entry tells each control instance, several times a second. */
export type EntryReport = Readonly<{
	entry: string;
	/** Address that callers connect to. */
	address: string;
	dataCentre: string;
	standing: EntryStanding;
	/** Version of the configuration in force; 0 for none. */
	version: number;
	loads: Readonly<Record<string, BackendLoad>>;
	crashes: readonly Crash[];
	/** Revision of the backend servers that this control instance told last; absent if all of them are wanted. */
	revision?: number;
}>;

/** What a control instance answers. */
export type ControlReport = Readonly<{
	/** Version of the newest committed configuration known here; 0 for none. */
	version: number;
	/** Addresses of the control instances for traffic between instances. */
	controls: readonly string[];
	/** Entries heard of lately. */
	entries: number;
	/** Addresses of the entries that callers may connect to. */
	serving: readonly string[];
	/** Changes whenever a backend server does. */
	revision: number;
	/** Absent where the entry knows this revision. */
	backends?: readonly AgedRecord[];
	/** Work of the other entries. */
	loads: Readonly<Record<string, BackendLoad>>;
	convicted: readonly string[];
}>;

/** Turns a record into its form between instances. */
export function toAged(record: BackendRecord, now: number): AgedRecord {
	const {heardAt, ...rest} = record;
	return {...rest, ageMs: now - heardAt};
}

/** Turns a record from another instance into one of this instance's time. */
export function fromAged(record: AgedRecord, now: number): BackendRecord {
	const {ageMs, ...rest} = record;
	return {...rest, heardAt: now - ageMs};
}
