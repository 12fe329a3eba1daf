import {
	type AgesRequest,
	type BackendRecord,
	type BackendTable,
	type ControlReport,
	countReady,
	fromAgedRecord,
	mergeRecords,
	readSoftwareVersion,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import {
	createAgesRequest,
	createReportedAges,
	mergeAges,
} from './reported-ages.js';
import {createRecordFilter} from './reported-records.js';

/** Dependencies and settings of the backend servers that are reported. */
export type ReportedBackendsOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	/**
	 * Interval at which a backend server renews its registration, in
	 * milliseconds.
	 */
	registrationIntervalMs: number;
}>;

/** What a report told of the backend servers. */
export type ReportedRecords = Readonly<{
	/** Sound records of the report, also those that are older than the known ones. */
	records: readonly BackendRecord[];
	/** Backend servers that are new, or whose state or incarnation changed. */
	changed: readonly BackendRecord[];
}>;

/** The backend servers as the control instances report them. */
export type ReportedBackends = Readonly<{
	applyReport: (report: ControlReport) => ReportedRecords;
	/** Logs what a report changed, once the rest of it is applied. */
	logChanges: (changed: readonly BackendRecord[]) => void;
	/** Requests the ages of registrations, if they are due. */
	createAgesRequest: () => AgesRequest;
	find: (id: string) => BackendRecord | undefined;
	/** Backend servers of all services, also those that have ended. */
	listAll: () => Iterable<BackendRecord>;
	listReady: (service: string) => readonly BackendRecord[];
	/** Backend servers of a service that have not ended, heard of lately or not. */
	listRegistered: (service: string) => readonly BackendRecord[];
	/** Software versions of a service that are in service, with the number of backend servers. */
	countSoftwareVersions: (service: string) => ReadonlyMap<string, number>;
	countReady: () => number;
	/** Whether a backend server has not missed registrations lately. */
	hasRegisteredLately: (backend: BackendRecord) => boolean;
}>;

/** Missed registrations after which a backend server counts as silent. */
const MAX_MISSED_REGISTRATIONS = 2.5;

/** Creates the state of an entry to which no backend server was reported. */
export function createReportedBackends(
	options: ReportedBackendsOptions,
): ReportedBackends {
	const {clock, log, registrationIntervalMs} = options;
	const silentAfterMs = registrationIntervalMs * MAX_MISSED_REGISTRATIONS;
	const keepSound = createRecordFilter(options);
	let table: BackendTable = new Map();
	let ages = createReportedAges(registrationIntervalMs);

	const applyAges = (report: ControlReport): void => {
		const merged = mergeAges(ages, table, report, clock.now());
		if (!ages.needsAll && merged.ages.needsAll) {
			log.info('Requesting the ages of all backend servers.', {
				known: countReady(table),
				reported: report.readyCount ?? 'unknown',
			});
		}

		({ages, table} = merged);
	};

	const listChanged = (previousTable: BackendTable): readonly BackendRecord[] =>
		[...table.values()].filter((record) => {
			const known = previousTable.get(record.id);
			return known?.state !== record.state || known.bornAt !== record.bornAt;
		});

	const listReady = (service: string): readonly BackendRecord[] =>
		[...table.values()].filter(
			(record) => record.service === service && record.state === 'ready',
		);

	return {
		applyReport(report) {
			const now = clock.now();
			const previousTable = table;
			const records = keepSound(report.backends).map((record) =>
				fromAgedRecord(record, now),
			);
			table = records.length === 0 ? table : mergeRecords(table, records).table;
			applyAges(report);
			const changed = records.length === 0 ? [] : listChanged(previousTable);
			return {records, changed};
		},
		logChanges(changed) {
			changed.forEach(
				({id, service, address, softwareVersion, state, heardAt}) => {
					log.info('A backend server changed.', {
						backend: id,
						service,
						address,
						softwareVersion: softwareVersion ?? '',
						state,
						ageMs: Math.round(ages.receivedAt - heardAt),
					});
				},
			);
		},
		createAgesRequest: () => createAgesRequest(ages, clock.now()),
		find: (id) => table.get(id),
		listAll: () => table.values(),
		listReady,
		listRegistered: (service) =>
			[...table.values()].filter(
				(record) => record.service === service && record.state !== 'gone',
			),
		countSoftwareVersions(service) {
			const counts = new Map<string, number>();
			listReady(service).forEach((record) => {
				const version = readSoftwareVersion(record);
				counts.set(version, (counts.get(version) ?? 0) + 1);
			});
			return counts;
		},
		countReady: () => countReady(table),
		hasRegisteredLately: ({heardAt}) =>
			ages.receivedAt - heardAt < silentAfterMs,
	};
}
