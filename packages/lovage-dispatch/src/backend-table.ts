import {readOwn} from './own-property.js';

/** State that a backend server registers with. */
export type BackendState = 'ready' | 'draining' | 'gone';

/** Latest known registration of a backend server. */
export type BackendRecord = Readonly<{
	id: string;
	service: string;
	/** IP address and port. */
	address: string;
	dataCentre: string;
	state: BackendState;
	slots: number;
	/** Version of its software; absent if it names none, or an older control instance decoded it. */
	softwareVersion?: string;
	/** Start of this incarnation, in Unix milliseconds by its machine's clock. */
	bornAt: number;
	/** Increases with each registration of the incarnation. */
	sequence: number;
	/** Time of the last known registration, in monotonic milliseconds of this process. */
	heardAt: number;
}>;

/** Backend servers by id. */
export type BackendTable = ReadonlyMap<string, BackendRecord>;

/** Effect of a registration on the table. */
export type MergeOutcome = 'added' | 'changed' | 'refreshed' | 'ignored';

/** Table after a merge, and the outcome of each record. */
export type MergeResult = Readonly<{
	table: BackendTable;
	outcomes: readonly MergeOutcome[];
}>;

/** Age after which a record is dropped. Delayed registrations arrive within seconds. */
export const RECORD_RETENTION_MS = 120_000;

function isOlder(record: BackendRecord, known: BackendRecord): boolean {
	return (
		record.bornAt < known.bornAt ||
		(record.bornAt === known.bornAt && record.sequence < known.sequence)
	);
}

/** Whether two records of a backend server have the same incarnation, state, address and version. */
export function isSameRegistration(
	a: BackendRecord,
	b: BackendRecord,
): boolean {
	return (
		a.bornAt === b.bornAt &&
		a.state === b.state &&
		a.address === b.address &&
		a.softwareVersion === b.softwareVersion
	);
}

function classifyRegistration(
	known: BackendRecord | undefined,
	record: BackendRecord,
): MergeOutcome {
	if (known === undefined) {
		return 'added';
	}

	// `gone` is final for an incarnation: delayed registrations don't revive it.
	const isEnded = known.state === 'gone' && known.bornAt === record.bornAt;
	// `gone` ends an incarnation whatever its sequence.
	const isOutdated =
		record.state === 'gone'
			? record.bornAt < known.bornAt
			: isOlder(record, known);
	if (isEnded || isOutdated) {
		return 'ignored';
	}

	return isSameRegistration(known, record) ? 'refreshed' : 'changed';
}

/** Mutable table with an index by address. */
type IndexedTable = Readonly<{
	records: Map<string, BackendRecord>;
	/** Ids of the backend servers that are not gone, by address. */
	idsByAddress: Map<string, readonly string[]>;
}>;

function removeFromAddress(
	{idsByAddress}: IndexedTable,
	{id, address}: BackendRecord,
): void {
	const others = (idsByAddress.get(address) ?? []).filter(
		(other) => other !== id,
	);
	if (others.length === 0) {
		idsByAddress.delete(address);
	} else {
		idsByAddress.set(address, others);
	}
}

function putRecord(table: IndexedTable, record: BackendRecord): void {
	const {records, idsByAddress} = table;
	const {id, address, state} = record;
	const known = records.get(id);
	records.set(id, record);
	if (known !== undefined && (known.address !== address || state === 'gone')) {
		removeFromAddress(table, known);
	}

	const ids = idsByAddress.get(address) ?? [];
	if (state !== 'gone' && !ids.includes(id)) {
		idsByAddress.set(address, [...ids, id]);
	}
}

/** Lists the other backend servers at a record's address that are not gone. */
function listAddressOwners(
	{records, idsByAddress}: IndexedTable,
	{id, address}: BackendRecord,
): readonly BackendRecord[] {
	return (idsByAddress.get(address) ?? [])
		.filter((other) => other !== id)
		.map((other) => records.get(other)!);
}

/** Keeps an incarnation draining, even if it registers as ready later. */
function keepDraining(
	known: BackendRecord | undefined,
	record: BackendRecord,
): BackendRecord {
	return known?.state === 'draining' &&
		known.bornAt === record.bornAt &&
		record.state === 'ready'
		? {...record, state: 'draining'}
		: record;
}

/** Keeps the software version of an incarnation, which instances of earlier builds omit. */
function keepVersion(
	known: BackendRecord | undefined,
	record: BackendRecord,
): BackendRecord {
	return known?.bornAt === record.bornAt &&
		known.softwareVersion !== undefined &&
		record.softwareVersion === undefined
		? {...record, softwareVersion: known.softwareVersion}
		: record;
}

/** Merges one record and adds the ids of the backend servers that change to `changedIds`. */
function mergeOne(
	table: IndexedTable,
	received: BackendRecord,
	changedIds: Set<string>,
): MergeOutcome {
	const known = table.records.get(received.id);
	const record = keepVersion(known, keepDraining(known, received));
	const outcome = classifyRegistration(known, record);
	switch (outcome) {
		case 'ignored': {
			return outcome;
		}

		case 'refreshed': {
			const heardAt = Math.max(known!.heardAt, record.heardAt);
			putRecord(table, {...record, heardAt});
			return outcome;
		}

		case 'added':
		case 'changed': {
			const owners = listAddressOwners(table, record);
			// A delayed registration: a newer incarnation has its address by now.
			const isAddressTaken = owners.some(({bornAt}) => bornAt > record.bornAt);
			if (!isAddressTaken) {
				owners.forEach((previous) => {
					putRecord(table, {...previous, state: 'gone'});
					changedIds.add(previous.id);
				});
			}

			putRecord(table, isAddressTaken ? {...record, state: 'gone'} : record);
			changedIds.add(record.id);
			return outcome;
		}
	}
}

/**
 * Table that is updated in place. The cost of a merge is in proportion to the records
 * merged, not to the size of the table.
 */
export type BackendStore = Readonly<{
	/** Live view of the store, which later merges change. */
	table: BackendTable;
	/** Merges registrations; outdated ones are ignored. */
	merge: (records: readonly BackendRecord[]) => StoreMerge;
	/** Drops records whose last registration is older than the retention time. */
	dropOld: (now: number) => void;
}>;

/** Outcome of each record, and the ids of all backend servers that changed. */
export type StoreMerge = Readonly<{
	outcomes: readonly MergeOutcome[];
	changedIds: ReadonlySet<string>;
}>;

function isKept({heardAt}: BackendRecord, now: number): boolean {
	return now - heardAt < RECORD_RETENTION_MS;
}

/** Creates a store with a copy of a table. */
export function createBackendStore(initial: BackendTable): BackendStore {
	const records = new Map(initial);
	const table: IndexedTable = {records, idsByAddress: new Map()};
	records.forEach((record) => {
		putRecord(table, record);
	});
	return {
		table: records,
		merge(received) {
			const changedIds = new Set<string>();
			const outcomes = received.map((record) =>
				mergeOne(table, record, changedIds),
			);
			return {outcomes, changedIds};
		},
		dropOld(now) {
			records.forEach((record) => {
				if (!isKept(record, now)) {
					removeFromAddress(table, record);
					records.delete(record.id);
				}
			});
		},
	};
}

/** Merges registrations into a copy of the table; outdated ones are ignored. */
export function mergeRecords(
	table: BackendTable,
	records: readonly BackendRecord[],
): MergeResult {
	const store = createBackendStore(table);
	const {outcomes} = store.merge(records);
	return {table: store.table, outcomes};
}

/** Number of backend servers in service. */
export function countReady(table: BackendTable): number {
	return [...table.values()].filter(({state}) => state === 'ready').length;
}

/** Drops records whose last registration is older than the retention time. */
export function dropOldRecords(table: BackendTable, now: number): BackendTable {
	return [...table.values()].every((record) => isKept(record, now))
		? table
		: new Map([...table].filter(([, record]) => isKept(record, now)));
}

/**
 * Updates `heardAt` from the ages by id that another instance reports, where those
 * are more recent. Ready backend servers that are missing there have at most the age
 * `restMs`, or keep their `heardAt` if that is undefined. All in milliseconds.
 */
export function applyReportedAges(
	table: BackendTable,
	agesMs: Readonly<Record<string, number>>,
	now: number,
	restMs?: number,
): BackendTable {
	return new Map(
		[...table].map(([id, record]) => {
			const ageMs =
				readOwn(agesMs, id) ?? (record.state === 'ready' ? restMs : undefined);
			const heardAt = Math.max(
				record.heardAt,
				ageMs === undefined ? 0 : now - ageMs,
			);
			return [id, heardAt === record.heardAt ? record : {...record, heardAt}];
		}),
	);
}
