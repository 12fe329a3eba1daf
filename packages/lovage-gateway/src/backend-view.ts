import {
	type AgesRequest,
	type AvoidReason,
	type BackendLoad,
	type BackendNotice,
	type BackendNotices,
	type BackendRecord,
	type BackendTable,
	type Candidate,
	chooseBackend,
	countReady,
	createIncarnationKey,
	type ClosedReason,
	type ControlReport,
	findClosedReason,
	fromAgedRecord,
	fromCompactLoads,
	type ExchangeOutcome,
	type FloodReports,
	isAvoided,
	mergeRecords,
	NO_LOAD,
	getAvoidReason,
	readOwn,
	readSoftwareVersion,
	recordExchange,
	recordNotice,
	type BackendHealth,
	UNKNOWN_HEALTH,
	type PlacementRequest,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import {createBrittleRoom} from './brittle-room.js';
import type {BrittleBackends} from './brittle-backends.js';
import {
	createLoadReservations,
	type LoadReservation,
} from './load-reservations.js';
import type {NamedLimits} from './named-limits.js';
import {createRecordFilter} from './reported-records.js';
import {
	createAgesRequest,
	createReportedAges,
	mergeAges,
} from './reported-ages.js';
import {createToldFloods} from './told-floods.js';

/** Dependencies and settings of a backend view. */
export type BackendViewOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	/**
	 * Interval at which a backend server renews its registration, in
	 * milliseconds.
	 */
	registrationIntervalMs: number;
	limits: NamedLimits;
	brittle: BrittleBackends;
	/** Position of this entry among those that serve. */
	readRank: () => Readonly<{rank: number; instances: number}>;
	/** Called when a backend server of a service accepted no connection. */
	onUnreachable: (service: string) => void;
}>;

/** Whether a backend server may receive requests. */
export type BackendAvailability =
	| 'usable'
	/** It is draining, gone or not registered. */
	| 'ended'
	/** It has neither registered nor responded recently. */
	| 'silent'
	/** It recently refused a connection or failed most requests. */
	| AvoidReason
	/** It said so itself in an answer; it must not receive requests. */
	| ClosedReason
	/** It named a limit in an answer; it gets requests by `choose` only. */
	| 'limited';

/** State of the backend servers as this entry knows it. */
export type BackendView = Readonly<{
	/** Merges a report of a control instance. */
	applyReport: (report: ControlReport) => void;
	choose: (
		service: string,
		request: PlacementRequest,
		random: number,
	) => BackendRecord | undefined;
	/** Chooses a backend server that only keeps a copy of another one's run. */
	chooseCopyTarget: (
		service: string,
		request: PlacementRequest,
		random: number,
	) => BackendRecord | undefined;
	find: (id: string) => BackendRecord | undefined;
	/** Backend servers in service that registered recently, by service. */
	listInService: () => ReadonlyMap<string, readonly BackendRecord[]>;
	/** Backend servers of a service that have not ended, heard of lately or not. */
	listRegistered: (service: string) => readonly BackendRecord[];
	/** Software versions of a service that are in service, with the number of backend servers. */
	countSoftwareVersions: (service: string) => ReadonlyMap<string, number>;
	/** Whether a backend server may receive requests, and if not, why. */
	readAvailability: (id: string) => BackendAvailability;
	reserve: (
		backend: BackendRecord,
		request: PlacementRequest,
	) => LoadReservation;
	reportHealth: (backend: BackendRecord, outcome: ExchangeOutcome) => void;
	/**
	 * Applies what a backend server said about itself in an answer to a request
	 * that was sent at `sentAt`.
	 */
	recordNotice: (
		backend: BackendRecord,
		notice: BackendNotice,
		sentAt: number,
	) => void;
	/** Records that a backend server turned a request away that it did not run. */
	recordRejection: (backend: BackendRecord) => void;
	/** Whether commands may be sent to a backend server, which count as requests. */
	acceptsCommands: (backend: BackendRecord) => boolean;
	/**
	 * Incarnations that said they are leaving but are registered as ready, as
	 * `id/bornAt`.
	 */
	listLeaving: () => readonly string[];
	/**
	 * Time until the first backend server of a service accepts requests again, in
	 * milliseconds; undefined unless all of them asked for a pause or named a limit.
	 */
	readPushbackMs: (service: string) => number | undefined;
	/** Whether requests for a service wait a moment for room at brittle backend servers. */
	hasBrittle: (service: string) => boolean;
	/** Flooding backend servers that this entry met, for the control instances. */
	createFloodReport: () => FloodReports;
	/** Requests the ages of registrations, if they are due. */
	createAgesRequest: () => AgesRequest;
	readOwnLoads: () => Readonly<Record<string, BackendLoad>>;
	countReady: () => number;
}>;

/** Missed registrations after which a backend server counts as silent. */
const MAX_MISSED_REGISTRATIONS = 2.5;
/** A response within this time shows that a backend server is alive. */
const RESPONSE_FRESHNESS_MS = 2000;

/** Creates a view without any backend servers. */
export function createBackendView(options: BackendViewOptions): BackendView {
	const {clock, log, metrics, limits, brittle} = options;
	const silentAfterMs =
		options.registrationIntervalMs * MAX_MISSED_REGISTRATIONS;
	const health = new Map<string, BackendHealth>();
	const noticesById = new Map<string, BackendNotices>();
	const ownLoads = createLoadReservations();
	const keepSound = createRecordFilter(options);
	let table: BackendTable = new Map();
	let remoteLoads: Readonly<Record<string, BackendLoad>> = {};
	let ages = createReportedAges(options.registrationIntervalMs);

	const readHealth = (id: string): BackendHealth =>
		health.get(id) ?? UNKNOWN_HEALTH;

	const findClosed = ({id, bornAt}: BackendRecord): ClosedReason | undefined =>
		findClosedReason(noticesById.get(id), bornAt, clock.now());

	const listReady = (service: string): readonly BackendRecord[] =>
		[...table.values()].filter(
			(record) => record.service === service && record.state === 'ready',
		);

	const hasRecentContact = (record: BackendRecord): boolean => {
		const {answeredAt} = readHealth(record.id);
		return (
			ages.receivedAt - record.heardAt < silentAfterMs ||
			(answeredAt !== undefined &&
				clock.now() - answeredAt < RESPONSE_FRESHNESS_MS)
		);
	};

	const readOthersLoad = (id: string): BackendLoad =>
		readOwn(remoteLoads, id) ?? NO_LOAD;

	const isAvoidedHere = (id: string): boolean =>
		isAvoided(readHealth(id), clock.now());

	const toCandidate = (
		record: BackendRecord,
		avoidedAsTold: ReadonlySet<string>,
	): Candidate => ({
		id: record.id,
		address: record.address,
		dataCentre: record.dataCentre,
		slots: record.slots,
		ownLoad: ownLoads.read(record.id),
		othersLoad: readOthersLoad(record.id),
		isResponsive: hasRecentContact(record),
		isAvoided: isAvoidedHere(record.id) || avoidedAsTold.has(record.id),
	});

	const listOpen = (
		service: string,
		softwareVersion?: string,
	): readonly BackendRecord[] =>
		listReady(service).filter(
			(record) =>
				findClosed(record) === undefined &&
				(softwareVersion === undefined ||
					readSoftwareVersion(record) === softwareVersion),
		);

	const room = createBrittleRoom(brittle, {
		listBackends: () => table.values(),
		countOwn: (id) => ownLoads.read(id).running,
		countAtAddress: ownLoads.countAtAddress,
		countOthers: (id) => readOthersLoad(id).running,
		readRank: options.readRank,
	});

	const floods = createToldFloods({
		clock,
		log,
		find: (id) => table.get(id),
		listInUse: (service) => listOpen(service).filter(hasRecentContact),
		isAvoided: isAvoidedHere,
	});

	const isUsable = (id: string): boolean => {
		const record = table.get(id);
		return (
			record !== undefined && hasRecentContact(record) && !isAvoidedHere(id)
		);
	};

	const chooseAmong = (
		records: readonly BackendRecord[],
		avoidedAsTold: ReadonlySet<string>,
		request: PlacementRequest,
		random: number,
	): BackendRecord | undefined => {
		const chosen = chooseBackend(
			records.map((record) => toCandidate(record, avoidedAsTold)),
			request,
			random,
		);
		return chosen === undefined ? undefined : table.get(chosen.id);
	};

	const logChanges = (previousTable: BackendTable): void => {
		[...table.values()]
			.filter((record) => {
				const known = previousTable.get(record.id);
				return known?.state !== record.state || known.bornAt !== record.bornAt;
			})
			.forEach(({id, service, address, softwareVersion, state, heardAt}) => {
				health.delete(id);
				log.info('A backend server changed.', {
					backend: id,
					service,
					address,
					softwareVersion: softwareVersion ?? '',
					state,
					ageMs: Math.round(ages.receivedAt - heardAt),
				});
			});
	};

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

	return {
		applyReport(report) {
			const now = clock.now();
			const previousTable = table;
			const {backends, overview} = report;
			const records = keepSound(backends).map((record) =>
				fromAgedRecord(record, now),
			);
			table = records.length === 0 ? table : mergeRecords(table, records).table;
			applyAges(report);
			[...noticesById.keys()]
				.filter((id) => !table.has(id))
				.forEach((id) => {
					noticesById.delete(id);
				});
			limits.removeEnded((id) => table.get(id));
			floods.applyReport(overview?.floods);
			room.applyReport(records, overview?.brittle, (id) => table.get(id));
			if (overview?.limits !== undefined) {
				limits.applyReport(overview.limits);
			}

			remoteLoads =
				overview === undefined ? remoteLoads : fromCompactLoads(overview.loads);
			if (records.length > 0) {
				logChanges(previousTable);
			}
		},
		choose(service, request, random) {
			const open = listOpen(service, request.softwareVersion).filter((record) =>
				room.hasRoom(record, request),
			);
			const unlimited = open.filter((record) => !limits.isLimited(record));
			const limited = open.filter((record) => limits.isLimited(record));
			const avoidedAsTold = floods.listAvoided(service);
			const eligible = limited.filter(
				({id}) =>
					!request.excluded.includes(id) &&
					!avoidedAsTold.has(id) &&
					isUsable(id),
			);
			const unlimitedSlots = unlimited.reduce(
				(sum, {slots}) => sum + Math.max(1, slots),
				0,
			);
			return (
				limits.draw(service, eligible, unlimitedSlots) ??
				chooseAmong(unlimited, avoidedAsTold, request, random)
			);
		},
		chooseCopyTarget: (service, request, random) =>
			chooseAmong(
				listOpen(service, request.softwareVersion).filter(
					(record) =>
						!limits.isLimited(record) && room.hasRoom(record, request),
				),
				floods.listAvoided(service),
				request,
				random,
			),
		find: (id) => table.get(id),
		listInService() {
			const services = new Map<string, BackendRecord[]>();
			table.forEach((record) => {
				if (record.state === 'ready' && hasRecentContact(record)) {
					const known = services.get(record.service) ?? [];
					services.set(record.service, [...known, record]);
				}
			});
			return services;
		},
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
		readAvailability(id) {
			const record = table.get(id);
			if (record?.state !== 'ready') {
				return 'ended';
			}

			const reason = getAvoidReason(readHealth(id), clock.now());
			return (
				reason ??
				findClosed(record) ??
				(limits.isLimited(record) ? 'limited' : undefined) ??
				(hasRecentContact(record) ? 'usable' : 'silent')
			);
		},
		reserve: ownLoads.reserve,
		reportHealth(backend, outcome) {
			const {id, bornAt, service} = backend;
			// Outcomes of an earlier process do not apply to the one that replaced it.
			if (table.get(id)?.bornAt !== bornAt) {
				return;
			}

			if (outcome === 'unreachable') {
				options.onUnreachable(service);
				brittle.recordUnreachable(backend);
			}

			const before = readHealth(id);
			const after = recordExchange(before, outcome, clock.now());
			health.set(id, after);
			floods.record(backend, outcome);
			if (after.avoidedUntil > clock.now()) {
				log.warn('Temporarily avoiding a backend server.', {
					backend: id,
					signal: outcome,
					forMs: Math.round(after.avoidedUntil - clock.now()),
				});
			}
		},
		recordNotice(backend, notice, sentAt) {
			const {id, bornAt, service} = backend;
			const now = clock.now();
			if (notice.limit !== undefined) {
				limits.record(backend, notice.limit, sentAt);
			}

			if (notice.brittle !== undefined) {
				brittle.record(backend, notice.brittle, sentAt);
			}

			const before = noticesById.get(id);
			const after = recordNotice(before, bornAt, notice, now);
			const reason = findClosedReason(after, bornAt, now);
			if (reason === undefined) {
				return;
			}

			noticesById.set(id, after);
			if (findClosedReason(before, bornAt, now) === reason) {
				return;
			}

			metrics.count('backend_notices', {notice: reason});
			log.warn('A backend server wants no more requests.', {
				backend: id,
				service,
				bornAt,
				notice: reason,
				...(reason === 'pushback'
					? {forMs: Math.round(after.pushbackUntil - now)}
					: {}),
			});
		},
		recordRejection: room.recordRejection,
		acceptsCommands: (backend) =>
			findClosed(backend) !== 'pushback' && !limits.isLimited(backend),
		listLeaving: () =>
			[...noticesById]
				.filter(
					([id, {bornAt, isLeaving}]) =>
						isLeaving &&
						table.get(id)?.bornAt === bornAt &&
						table.get(id)?.state === 'ready',
				)
				.map(([id, {bornAt}]) => createIncarnationKey({id, bornAt})),
		readPushbackMs(service) {
			const ready = listReady(service);
			const isAnyOpen = ready.some(
				(record) =>
					findClosed(record) === undefined && !limits.isLimited(record),
			);
			const limited = ready.filter(
				(record) =>
					findClosed(record) === undefined && limits.isLimited(record),
			);
			if (!isAnyOpen && limited.length > 0) {
				return limits.readRetryAfterMs(limited);
			}

			const waitsMs = ready
				.filter((record) => findClosed(record) === 'pushback')
				.map(({id}) => noticesById.get(id)!.pushbackUntil - clock.now());
			return isAnyOpen || waitsMs.length === 0
				? undefined
				: Math.min(...waitsMs);
		},
		readOwnLoads: ownLoads.readAll,
		hasBrittle: (service) => listOpen(service).some(brittle.isBrittle),
		createFloodReport: floods.createReport,
		createAgesRequest: () => createAgesRequest(ages, clock.now()),
		countReady: () => countReady(table),
	};
}
