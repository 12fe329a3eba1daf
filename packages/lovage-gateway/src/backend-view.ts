import {
	addLoad,
	type AgesRequest,
	type AvoidReason,
	type BackendLoad,
	type BackendNotice,
	type BackendRecord,
	type ClosedReason,
	type ControlReport,
	type ExchangeOutcome,
	type FloodReports,
	fromCompactLoads,
	NO_LOAD,
	type PlacementRequest,
	readOwn,
	readSoftwareVersion,
} from '@lovagevalve/dispatch';
import {
	type BackendChoice,
	type ChooseBackend,
	createBackendChoice,
} from './backend-choice.js';
import {createHealthRecords} from './backend-health.js';
import type {BrittleBackends} from './brittle-backends.js';
import {createBrittleRoom} from './brittle-room.js';
import {createClosedBackends} from './closed-backends.js';
import {
	createLoadReservations,
	type LoadReservation,
} from './load-reservations.js';
import type {NamedLimits} from './named-limits.js';
import {
	createReportedBackends,
	type ReportedBackendsOptions,
} from './reported-backends.js';
import {createServerSpeeds, type ServerSpeeds} from './server-speeds.js';
import type {RolloutVersions} from './rollout-versions.js';
import {createToldFloods} from './told-floods.js';

/** Dependencies and settings of a backend view. */
export type BackendViewOptions = ReportedBackendsOptions &
	Readonly<{
		limits: NamedLimits;
		brittle: BrittleBackends;
		/** Absent where roll-outs are not in force. */
		rollouts?: RolloutVersions;
		/** Whether learned speeds decide about placement; absent for yes. */
		usesSpeeds?: boolean;
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
	choose: ChooseBackend;
	/** Chooses a backend server that only keeps a copy of another one's run. */
	chooseCopyTarget: ChooseBackend;
	listCandidates: BackendChoice['listCandidates'];
	/** Load of a backend server from all entries. */
	readLoad: (id: string) => BackendLoad;
	find: (id: string) => BackendRecord | undefined;
	/** Backend servers in service that registered recently, by service. */
	listInService: () => ReadonlyMap<string, readonly BackendRecord[]>;
	/** Backend servers of a service that have not ended, heard of lately or not. */
	listRegistered: (service: string) => readonly BackendRecord[];
	/** Software versions of a service that are in service, with the number of backend servers. */
	countSoftwareVersions: (service: string) => ReadonlyMap<string, number>;
	/** Whether a backend server may receive requests, and if not, why. */
	readAvailability: (id: string) => BackendAvailability;
	/** Prompt tokens that an engine processes per millisecond, as learned; undefined until something is known. */
	readTokensPerMs: (backend: BackendRecord) => number | undefined;
	speeds: Pick<ServerSpeeds, 'recordEvent' | 'recordAnswer' | 'createReport'>;
	reserve: (
		backend: BackendRecord,
		request: PlacementRequest,
	) => LoadReservation;
	reportHealth: (backend: BackendRecord, outcome: ExchangeOutcome) => void;
	/** Applies what a backend server said in an answer to a request sent at `sentAt`. */
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

/** Creates a view without any backend servers. */
export function createBackendView(options: BackendViewOptions): BackendView {
	const {clock, log, limits, brittle, rollouts} = options;
	const reported = createReportedBackends(options);
	const closed = createClosedBackends(options);
	const health = createHealthRecords(options);
	const ownLoads = createLoadReservations();
	const speeds = createServerSpeeds({
		...options,
		listAll: reported.listAll,
		listRegistered: reported.listRegistered,
	});
	let remoteLoads: Readonly<Record<string, BackendLoad>> = {};

	const hasRecentContact = (record: BackendRecord): boolean =>
		reported.hasRegisteredLately(record) || health.hasAnsweredLately(record.id);

	const readOthersLoad = (id: string): BackendLoad =>
		readOwn(remoteLoads, id) ?? NO_LOAD;

	const listOpen = (
		service: string,
		softwareVersion?: string,
	): readonly BackendRecord[] =>
		reported
			.listReady(service)
			.filter(
				(record) =>
					closed.findReason(record) === undefined &&
					(softwareVersion === undefined ||
						readSoftwareVersion(record) === softwareVersion),
			);

	const room = createBrittleRoom(brittle, {
		listBackends: reported.listAll,
		countOwn: (id) => ownLoads.read(id).running,
		countAtAddress: ownLoads.countAtAddress,
		countOthers: (id) => readOthersLoad(id).running,
		readRank: options.readRank,
	});

	const floods = createToldFloods({
		clock,
		log,
		find: reported.find,
		listInUse: (service) => listOpen(service).filter(hasRecentContact),
		isAvoided: health.isAvoided,
	});

	const {choose, chooseCopyTarget, listCandidates} = createBackendChoice({
		listOpen,
		hasRecentContact,
		isAvoidedHere: health.isAvoided,
		listAvoidedAsTold: floods.listAvoided,
		readOwnLoad: ownLoads.read,
		readOthersLoad,
		findSpeedReader: speeds.findReader,
		limits,
		room,
	});

	const reserve = rollouts?.countSent(ownLoads.reserve) ?? ownLoads.reserve;

	return {
		applyReport(report) {
			const {overview} = report;
			const {records, changed} = reported.applyReport(report);
			closed.removeEnded(reported.find);
			limits.removeEnded(reported.find);
			floods.applyReport(overview?.floods);
			room.applyReport(records, overview?.brittle, reported.find);
			if (overview?.limits !== undefined) {
				limits.applyReport(overview.limits);
			}

			remoteLoads =
				overview === undefined ? remoteLoads : fromCompactLoads(overview.loads);
			changed.forEach(({id}) => {
				health.forget(id);
			});
			speeds.removeEnded(reported.find);
			if (overview?.speeds !== undefined) {
				speeds.applyReport(overview.speeds);
			}

			reported.logChanges(changed);
		},
		choose: rollouts?.limitChoice(choose) ?? choose,
		chooseCopyTarget,
		listCandidates,
		readLoad: (id) => addLoad(ownLoads.read(id), readOthersLoad(id)),
		find: reported.find,
		listInService() {
			const services = new Map<string, BackendRecord[]>();
			[...reported.listAll()].forEach((record) => {
				if (record.state === 'ready' && hasRecentContact(record)) {
					const known = services.get(record.service) ?? [];
					services.set(record.service, [...known, record]);
				}
			});
			return services;
		},
		listRegistered: reported.listRegistered,
		countSoftwareVersions: reported.countSoftwareVersions,
		readAvailability(id) {
			const record = reported.find(id);
			if (record?.state !== 'ready') {
				return 'ended';
			}

			return (
				health.findAvoidReason(id) ??
				closed.findReason(record) ??
				(limits.isLimited(record) ? 'limited' : undefined) ??
				(hasRecentContact(record) ? 'usable' : 'silent')
			);
		},
		readTokensPerMs: speeds.readTokensPerMs,
		speeds,
		reserve(backend, request) {
			const {id} = backend;
			const load = addLoad(ownLoads.read(id), readOthersLoad(id));
			const reservation = reserve(backend, request);
			speeds.recordSending(reservation, request, load);
			return reservation;
		},
		reportHealth(backend, outcome) {
			const {id, bornAt, service} = backend;
			// Outcomes of an earlier process do not apply to the one that replaced it.
			if (reported.find(id)?.bornAt !== bornAt) {
				return;
			}

			if (outcome === 'unreachable') {
				options.onUnreachable(service);
				brittle.recordUnreachable(backend);
			}

			floods.record(backend, outcome);
			health.record(backend, outcome);
		},
		recordNotice(backend, notice, sentAt) {
			if (notice.limit !== undefined) {
				limits.record(backend, notice.limit, sentAt);
			}

			if (notice.brittle !== undefined) {
				brittle.record(backend, notice.brittle, sentAt);
			}

			closed.record(backend, notice);
		},
		recordRejection: room.recordRejection,
		acceptsCommands: (backend) =>
			closed.findReason(backend) !== 'pushback' && !limits.isLimited(backend),
		listLeaving: () => closed.listLeaving(reported.find),
		readPushbackMs(service) {
			const open = listOpen(service);
			if (open.length === 0) {
				return closed.readPauseMs(reported.listReady(service));
			}

			return open.every(limits.isLimited)
				? limits.readRetryAfterMs(open)
				: undefined;
		},
		readOwnLoads: ownLoads.readAll,
		hasBrittle: (service) => listOpen(service).some(brittle.isBrittle),
		createFloodReport: floods.createReport,
		createAgesRequest: reported.createAgesRequest,
		countReady: reported.countReady,
	};
}
