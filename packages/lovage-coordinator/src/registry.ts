import {
	type AgedRecord,
	type BackendRecord,
	createBackendStore,
	createIncarnationKey,
	type ClusterOverview,
	type ControlReport,
	type EntryReport,
	fromAgedRecord,
	fromCompactLoads,
	type OriginAnswer,
	type MergeOutcome,
	toAgedRecord,
	toCompactLoads,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';
import {
	COUNTS_ARITHMETIC,
	fromCountsSum,
	LOAD_ARITHMETIC,
	mapValues,
	toCountsSum,
} from './arithmetic.js';
import {
	createEntryRegistry,
	type EntryRegistry,
	type KnownEntry,
} from './entry-registry.js';
import {createEntrySums} from './entry-sums.js';
import {createFloodRegistry} from './flood-registry.js';
import {createLimitRegistry} from './limit-registry.js';
import type {OriginQuery} from './origin-query.js';
import type {RegistryOptions} from './registry-options.js';
import {createSpeedRegistry} from './speed-registry.js';
import {createWaitingRegistry} from './waiting-registry.js';
import {describeAges, describeChanges} from './report-parts.js';

/** Soft state of a control instance: backend servers and entries. */
export type Registry = Readonly<{
	/** Merges a registration sent to this instance. */
	register: (record: BackendRecord) => MergeOutcome;
	/** Merges records received from another control instance. */
	merge: (records: readonly AgedRecord[]) => void;
	/** Merges departures that were stored before a restart. */
	restore: (records: readonly BackendRecord[]) => void;
	listBackends: () => readonly AgedRecord[];
	/** Number of backend servers on record, including those that are gone or silent. */
	count: () => number;
	/**
	 * Returns the backend servers that registered at this instance since the last
	 * call.
	 */
	takePendingGossip: () => readonly AgedRecord[];
	find: (id: string) => BackendRecord | undefined;
	/** Origin of a resumed stream and the software versions of its services. */
	findOrigin: (query: OriginQuery) => OriginAnswer;
	applyReport: (report: EntryReport) => void;
	/** Creates the registry's part of the response to an entry's report. */
	createReportResponse: (
		report: Pick<
			EntryReport,
			| 'entry'
			| 'known'
			| 'knownServing'
			| 'wantsOverview'
			| 'wantsAges'
			| 'agesAboveMs'
			| 'speeds'
		>,
	) => Omit<ControlReport, 'version' | 'controls' | 'convicted' | 'suspects'>;
	/** Entries that are silent, as of the registry of entries. */
	listSilent: EntryRegistry['listSilent'];
	/** Entries that may be advertised to callers. */
	listServing: () => readonly KnownEntry[];
	removeExpired: () => void;
}>;

/** Creates an empty registry. */
export function createRegistry(
	clock: Clock,
	log: Logger,
	{epoch, versions, origins, random}: RegistryOptions,
): Registry {
	const entries = createEntryRegistry({clock, log, epoch, random});
	const store = createBackendStore(new Map());
	const {table} = store;
	let revision = 1;
	/** Revision of the last change of each backend server, in ascending order. */
	const changedRevisions = new Map<string, number>();
	/**
	 * Backend servers that registered here since the last call of
	 * `takePendingGossip`.
	 */
	const pendingGossip = new Set<string>();

	const loads = createEntrySums(LOAD_ARITHMETIC);
	const retries = createEntrySums(COUNTS_ARITHMETIC);
	const waiting = createWaitingRegistry();
	const limits = createLimitRegistry(clock);
	/** Entries report brittle backend servers in the form of limits. */
	const brittle = createLimitRegistry(clock);
	const speeds = createSpeedRegistry(clock);
	const floods = createFloodRegistry({clock, log}, (id) => table.get(id));

	const removeFromSums = (entry: string): void => {
		loads.remove(entry);
		retries.remove(entry);
		waiting.remove(entry);
		limits.removeEntry(entry);
		brittle.removeEntry(entry);
		speeds.removeEntry(entry);
	};

	/** Describes what the entries reported; the sums leave out the entry that is told. */
	const describeOthers = (
		entry: string,
	): Pick<
		ClusterOverview,
		| 'loads'
		| 'retries'
		| 'waiting'
		| 'waitingRanks'
		| 'limits'
		| 'brittle'
		| 'floods'
	> => {
		entries.listSilent().forEach(removeFromSums);
		return {
			loads: toCompactLoads(loads.sumOthers(entry)),
			retries: mapValues(retries.sumOthers(entry), fromCountsSum),
			...waiting.describe(entry, entries.listServing),
			limits: limits.describe(entry),
			brittle: brittle.describe(entry),
			floods: floods.describe(entry),
		};
	};

	const listBackends = (): readonly AgedRecord[] =>
		[...table.values()].map((record) => toAgedRecord(record, clock.now()));

	const merge = (
		records: readonly BackendRecord[],
	): readonly MergeOutcome[] => {
		const {outcomes, changedIds} = store.merge(records);
		changedIds.forEach((id) => {
			revision += 1;
			changedRevisions.delete(id);
			changedRevisions.set(id, revision);
		});
		return outcomes;
	};

	/** Marks backend servers as draining that announced their shutdown to an entry. */
	const applyDepartures = (incarnationKeys: readonly string[]): void => {
		const keys = new Set(incarnationKeys);
		const departing = [...table.values()].filter(
			(record) =>
				record.state === 'ready' && keys.has(createIncarnationKey(record)),
		);
		merge(departing.map((record) => ({...record, state: 'draining'})));
		departing.forEach(({id, service, bornAt}) => {
			pendingGossip.add(id);
			log.info('An entry reported that a backend server leaves.', {
				backend: id,
				service,
				bornAt,
			});
		});
	};

	return {
		register(record) {
			const [outcome = 'ignored'] = merge([record]);
			pendingGossip.add(record.id);
			if (outcome !== 'refreshed') {
				log.info('A backend server registered.', {
					backend: record.id,
					service: record.service,
					address: record.address,
					softwareVersion: record.softwareVersion ?? '',
					state: record.state,
					bornAt: record.bornAt,
					sequence: record.sequence,
					outcome,
				});
			}

			return outcome;
		},
		merge(records) {
			const now = clock.now();
			merge(records.map((record) => fromAgedRecord(record, now)));
		},
		restore(records) {
			merge(records);
			records.forEach(({id}) => {
				pendingGossip.add(id);
			});
			if (records.length > 0) {
				log.info('Restored which backend servers leave.', {
					backends: records.length,
				});
			}
		},
		listBackends,
		count: () => table.size,
		takePendingGossip() {
			const now = clock.now();
			const records = [...pendingGossip].flatMap((id) => table.get(id) ?? []);
			pendingGossip.clear();
			return records.map((record) => toAgedRecord(record, now));
		},
		find: (id) => table.get(id),
		findOrigin({key, services}) {
			versions.update(table.values());
			const finding =
				key === undefined
					? undefined
					: origins.find(key, (id) => table.get(id));
			return {
				...(finding?.kind === 'found'
					? {origin: finding.origin, beginning: finding.beginning}
					: {}),
				...(finding?.kind === 'ambiguous' ? {isAmbiguous: true} : {}),
				knownForMs: versions.readKnownForMs(),
				versions: Object.fromEntries(
					services.map((service) => [service, versions.describe(service)]),
				),
			};
		},
		applyReport(report) {
			entries.record(report);
			loads.set(report.entry, fromCompactLoads(report.loads));
			retries.set(report.entry, mapValues(report.retries, toCountsSum));
			waiting.set(report.entry, report.waiting ?? {});
			limits.applyReport(report.entry, report.limits ?? {});
			brittle.applyReport(report.entry, report.brittle ?? {});
			floods.applyReport(report.entry, report.floods ?? {});
			speeds.applyReport(report.entry, report.speeds ?? {});
			origins.applyReport(report.origins ?? []);
			if (report.leaving !== undefined && report.leaving.length > 0) {
				applyDepartures(report.leaving);
			}
		},
		createReportResponse: ({
			entry,
			known,
			knownServing,
			wantsOverview,
			wantsAges,
			agesAboveMs,
			speeds: reportedSpeeds,
		}) => ({
			entries: entries.countAlive(),
			...describeChanges(
				{table, changedRevisions, latest: {epoch, revision}},
				known,
				clock.now(),
			),
			...(wantsAges ? describeAges(table, agesAboveMs, clock.now()) : {}),
			...(wantsOverview
				? {
						overview: {
							...entries.describeServing(knownServing),
							...describeOthers(entry),
							...(reportedSpeeds === undefined
								? {}
								: {speeds: speeds.describe(entry)}),
							...entries.describeRelays(entry),
						},
					}
				: {}),
		}),
		listSilent: entries.listSilent,
		listServing: entries.listServing,
		removeExpired() {
			versions.update(table.values());
			store.dropOld(clock.now());
			limits.removeEnded((id) => table.get(id));
			brittle.removeEnded((id) => table.get(id));
			speeds.removeEnded((id) => table.get(id));
			[...changedRevisions.keys()]
				.filter((id) => !table.has(id))
				.forEach((id) => {
					changedRevisions.delete(id);
				});
			entries.removeExpired().forEach(removeFromSums);
		},
	};
}
