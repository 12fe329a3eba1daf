/** What a backend server says of itself. */
export type BackendState = 'ready' | 'draining' | 'gone';

/** The newest that is known of one backend server. */
export type BackendRecord = Readonly<{
	id: string;
	service: string;
	/** IP address and port. */
	address: string;
	dataCentre: string;
	state: BackendState;
	slots: number;
	/** Start of this incarnation, in Unix milliseconds of its machine. */
	bornAt: number;
	/** Increases with each registration of the incarnation. */
	sequence: number;
	/** When it was heard last, in monotonic milliseconds of this process. */
	heardAt: number;
}>;

/** Backend servers by id. */
export type BackendTable = ReadonlyMap<string, BackendRecord>;

/** What a registration changed. */
export type MergeOutcome = 'added' | 'changed' | 'refreshed' | 'ignored';

/** Result of a merge. */
export type MergeResult = Readonly<{
	table: BackendTable;
	outcomes: readonly MergeOutcome[];
}>;

/** Age after which a record is dropped; late registrations come within seconds. */
export const RECORD_RETENTION_MS = 120_000;

function isOlder(record: BackendRecord, known: BackendRecord): boolean {
	return (
		record.bornAt < known.bornAt ||
		(record.bornAt === known.bornAt && record.sequence < known.sequence)
	);
}

/** Whether two records of a backend server tell the same but for when it was heard. */
export function isSameRegistration(
	a: BackendRecord,
	b: BackendRecord,
): boolean {
	return (
		a.bornAt === b.bornAt && a.state === b.state && a.address === b.address
	);
}

function classifyRegistration(
	known: BackendRecord | undefined,
	record: BackendRecord,
): MergeOutcome {
	if (known === undefined) {
		return 'added';
	}

	// The end of an incarnation is final, whatever arrives late.
	const isEnded = known.state === 'gone' && known.bornAt === record.bornAt;
	if (isEnded || (record.state !== 'gone' && isOlder(record, known))) {
		return 'ignored';
	}

	if (record.state === 'gone' && record.bornAt < known.bornAt) {
		return 'ignored';
	}

	return isSameRegistration(known, record) ? 'refreshed' : 'changed';
}

function endPreviousAddressOwners(
	table: Map<string, BackendRecord>,
	record: BackendRecord,
): void {
	[...table.values()]
		.filter(
			({id, address, state}) =>
				id !== record.id && address === record.address && state !== 'gone',
		)
		.forEach((previous) => {
			table.set(previous.id, {...previous, state: 'gone'});
		});
}

function isAddressReused(table: BackendTable, record: BackendRecord): boolean {
	return [...table.values()].some(
		({id, address, bornAt, state}) =>
			id !== record.id &&
			address === record.address &&
			state !== 'gone' &&
			bornAt > record.bornAt,
	);
}

function mergeOne(
	table: Map<string, BackendRecord>,
	record: BackendRecord,
): MergeOutcome {
	const known = table.get(record.id);
	const outcome = classifyRegistration(known, record);
	switch (outcome) {
		case 'ignored': {
			return outcome;
		}

		case 'refreshed': {
			const heardAt = Math.max(known!.heardAt, record.heardAt);
			table.set(record.id, {...record, heardAt});
			return outcome;
		}

		case 'added':
		case 'changed': {
			// A late call of an incarnation whose address another one has taken.
			const isReused = isAddressReused(table, record);
			if (!isReused) {
				endPreviousAddressOwners(table, record);
			}

			table.set(record.id, isReused ? {...record, state: 'gone'} : record);
			return outcome;
		}
	}
}

/** Takes in registrations; older ones than what is known change nothing. */
export function mergeRecords(
	table: BackendTable,
	records: readonly BackendRecord[],
): MergeResult {
	const next = new Map(table);
	const outcomes = records.map((record) => mergeOne(next, record));
	return {table: next, outcomes};
}

/** Drops records that nobody has spoken of for the retention time. */
export function dropOldRecords(table: BackendTable, now: number): BackendTable {
	const isKept = ({heardAt}: BackendRecord): boolean =>
		now - heardAt < RECORD_RETENTION_MS;
	return [...table.values()].every(isKept)
		? table
		: new Map([...table].filter(([, record]) => isKept(record)));
}

/** Takes in when backend servers were heard elsewhere; later hearings stay. */
export function applyReportedAges(
	table: BackendTable,
	agesMs: Readonly<Record<string, number>>,
	now: number,
): BackendTable {
	return new Map(
		[...table].map(([id, record]) => {
			const ageMs = agesMs[id];
			const heardAt = Math.max(
				record.heardAt,
				ageMs === undefined ? 0 : now - ageMs,
			);
			return [id, heardAt === record.heardAt ? record : {...record, heardAt}];
		}),
	);
}
