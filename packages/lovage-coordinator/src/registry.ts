import {
	addLoad,
	type AgedRecord,
	type BackendLoad,
	type BackendRecord,
	type BackendTable,
	type ControlReport,
	type CrashLedger,
	dropOldRecords,
	type EntryReport,
	type EntryStanding,
	fromAged,
	listConvicted,
	mergeRecords,
	type MergeOutcome,
	type MergeResult,
	recordCrashes,
	toAged,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';

/** An entry as a control instance knows it. */
export type KnownEntry = Readonly<{
	entry: string;
	address: string;
	dataCentre: string;
	standing: EntryStanding;
	heardAt: number;
}>;

/** Soft state of a control instance: who serves, and who is served. */
export type Registry = Readonly<{
	/** Takes in a registration that came to this instance. */
	register: (record: BackendRecord) => MergeOutcome;
	/** Takes in what another control instance knows. */
	merge: (records: readonly AgedRecord[]) => void;
	listBackends: () => readonly AgedRecord[];
	find: (id: string) => BackendRecord | undefined;
	takeReport: (report: EntryReport) => void;
	/** Completes the answer to an entry's report. */
	createAnswer: (
		report: Pick<EntryReport, 'entry' | 'revision'>,
	) => Pick<
		ControlReport,
		'entries' | 'serving' | 'revision' | 'backends' | 'loads' | 'convicted'
	>;
	/** Entries that may be named to callers. */
	listServing: () => readonly KnownEntry[];
	dropOld: () => void;
}>;

/** Entries report several times a second. */
const ENTRY_SILENT_MS = 1500;
const ENTRY_FORGOTTEN_MS = 30_000;

/** Creates an empty registry. */
export function createRegistry(clock: Clock, log: Logger): Registry {
	const entries = new Map<string, KnownEntry>();
	const loads = new Map<string, Readonly<Record<string, BackendLoad>>>();
	let table: BackendTable = new Map();
	let revision = 1;
	let ledger: CrashLedger = new Map();

	const isFresh = ({heardAt}: KnownEntry): boolean =>
		clock.now() - heardAt < ENTRY_SILENT_MS;

	const sumOthers = (entry: string): Record<string, BackendLoad> => {
		const sums: Record<string, BackendLoad> = {};
		[...loads]
			.filter(([other]) => other !== entry && isFresh(entries.get(other)!))
			.flatMap(([, held]) => Object.entries(held))
			.forEach(([backend, load]) => {
				const sum = sums[backend];
				sums[backend] = sum === undefined ? load : addLoad(sum, load);
			});
		return sums;
	};

	const noteEntry = (report: EntryReport): void => {
		const {entry, address, dataCentre, standing} = report;
		const known = entries.get(entry);
		if (
			known?.standing !== standing ||
			known.address !== address ||
			!isFresh(known)
		) {
			log.info('An entry changed.', {entry, address, standing});
		}

		entries.set(entry, {
			entry,
			address,
			dataCentre,
			standing,
			heardAt: clock.now(),
		});
	};

	const listBackends = (): readonly AgedRecord[] =>
		[...table.values()].map((record) => toAged(record, clock.now()));

	const takeIn = (merged: MergeResult): void => {
		const isChanged = merged.outcomes.some(
			(outcome) => outcome === 'added' || outcome === 'changed',
		);
		table = merged.table;
		revision += isChanged ? 1 : 0;
	};

	const listServing = (): readonly KnownEntry[] =>
		[...entries.values()].filter(
			(entry) => entry.standing === 'ready' && isFresh(entry),
		);

	return {
		register(record) {
			const merged = mergeRecords(table, [record]);
			takeIn(merged);
			const [outcome = 'ignored'] = merged.outcomes;
			if (outcome !== 'refreshed') {
				const {id, service, address, state, bornAt, sequence} = record;
				log.info('A backend server registered.', {
					backend: id,
					service,
					address,
					state,
					bornAt,
					sequence,
					outcome,
				});
			}

			return outcome;
		},
		merge(records) {
			const now = clock.now();
			const received = records.map((record) => fromAged(record, now));
			takeIn(mergeRecords(table, received));
		},
		listBackends,
		find: (id) => table.get(id),
		takeReport(report) {
			noteEntry(report);
			loads.set(report.entry, report.loads);
			if (report.crashes.length > 0) {
				ledger = recordCrashes(ledger, report.crashes, clock.now());
			}
		},
		createAnswer: ({entry, revision: known}) => ({
			entries: [...entries.values()].filter(isFresh).length,
			serving: listServing().map(({address}) => address),
			revision,
			...(known === revision ? {} : {backends: listBackends()}),
			loads: sumOthers(entry),
			convicted: listConvicted(ledger, clock.now()),
		}),
		listServing,
		dropOld() {
			table = dropOldRecords(table, clock.now());
			[...entries.values()]
				.filter(({heardAt}) => clock.now() - heardAt > ENTRY_FORGOTTEN_MS)
				.forEach(({entry}) => {
					entries.delete(entry);
					loads.delete(entry);
				});
		},
	};
}
