import {
	type BackendRecord,
	type ClusterOverview,
	decodeRanks,
	type PlacementRequest,
	readOwn,
	type SharedEntryReport,
} from '@lovagevalve/dispatch';
import type {Service} from '@lovagevalve/routing';
import {
	type AdmissionQueue,
	type AdmissionQueueOptions,
	createAdmissionQueue,
	type QueuedStream,
} from './admission-queue.js';
import type {BackendView} from './backend-view.js';
import {createEngineLoads, type EngineLoads} from './engine-loads.js';
import type {LoadReservation} from './load-reservations.js';

/** Lowest priority; 0 is the highest. */
export const MAX_PRIORITY = 9;

/** Answers that name this entry until each other one has had one as well. */
const MIN_TOLD_REPORTS = 2;
/**
 * Time without an overview after which all entries count as waiting, in milliseconds:
 * five reports, after which another control instance is asked. The others could never
 * hear of what waits here.
 */
const RANKS_VALID_MS = 1000;

/** Prompt tokens that wait for engines, by service and priority as `service/priority`. */
export type WaitingTokens = Readonly<Record<string, number>>;

/** Admission of streams to the model engines of all services. */
export type Admission = Readonly<{
	/** Whether streams of a service wait here until an engine has room. */
	isOn: (service: Service) => boolean;
	/** Waits for an engine, or starts at once; the returned function ends the wait. */
	enqueue: (service: Service, stream: QueuedStream) => () => void;
	/** Reserves the load of a run that starts, and measures it. */
	reserve: (
		backend: BackendRecord,
		request: PlacementRequest,
	) => LoadReservation;
	/** Describes what waits, for a report; undefined if nothing does. */
	createReport: () => WaitingTokens | undefined;
	/** Applies a report of a control instance. */
	applyReport: (overview: ClusterOverview | undefined) => void;
	/** Refuses the streams that wait, as this entry drains. */
	drain: () => void;
}>;

/** Dependencies of the admission. */
export type AdmissionOptions = Omit<
	AdmissionQueueOptions,
	| 'service'
	| 'loads'
	| 'readEngine'
	| 'listCandidates'
	| 'listRegistered'
	| 'readOthersWaiting'
	| 'readWaitingRanks'
> &
	Readonly<{
		view: Pick<
			BackendView,
			| 'listCandidates'
			| 'listRegistered'
			| 'hasBrittle'
			| 'find'
			| 'reserve'
			| 'readLoad'
		>;
	}>;

type ServiceAdmission = Readonly<{queue: AdmissionQueue; loads: EngineLoads}>;

/** Creates an admission without waiting streams. */
export function createAdmission(options: AdmissionOptions): Admission {
	const {clock, metrics, view} = options;
	const services = new Map<string, ServiceAdmission>();
	const engines = new Map<string, Service['engine']>();
	/** Services without limits that engines name, as of the last report. */
	const served = new Map<string, boolean>();
	/** Answers in a row that name this entry among those at which work waits. */
	let toldReports = 0;
	/** When the last overview came. */
	let toldAt = Number.NEGATIVE_INFINITY;
	let waitingRanks: readonly number[] | undefined;
	let othersWaiting: WaitingTokens = {};

	const open = (service: string): ServiceAdmission => {
		const known = services.get(service);
		if (known !== undefined) {
			return known;
		}

		const loads = createEngineLoads(clock.now, () => {
			queue.evaluate();
		});
		const queue = createAdmissionQueue({
			...options,
			service,
			loads,
			readEngine: () => engines.get(service),
			listCandidates: view.listCandidates,
			listRegistered: view.listRegistered,
			readWaitingRanks: () =>
				clock.now() - toldAt < RANKS_VALID_MS ? waitingRanks : undefined,
			readOthersWaiting: () =>
				Array.from(
					{length: MAX_PRIORITY + 1},
					(_, priority) =>
						readOwn(othersWaiting, `${service}/${priority}`) ?? 0,
				),
		});
		const created = {queue, loads};
		services.set(service, created);
		return created;
	};

	// Limits that engines name are kept by the draw among them, not by this queue.
	const isUnlimited = (service: string): boolean =>
		!view.hasBrittle(service) &&
		!view.listCandidates(service).some(({isLimited}) => isLimited);

	const isKnown = (id: string): boolean => {
		const record = view.find(id);
		return record !== undefined && record.state !== 'gone';
	};

	/** Leaves this entry out until the others have heard of what waits here. */
	const applyRanks = (text: string | undefined) => {
		if (text === undefined) {
			toldReports = 0;
			return undefined;
		}

		const ranks = decodeRanks(text);
		const {rank} = options.readRank();
		toldReports = ranks.includes(rank) ? toldReports + 1 : 0;
		return toldReports < MIN_TOLD_REPORTS
			? ranks.filter((other) => other !== rank)
			: ranks;
	};

	const sumWaiting = (read: (queue: AdmissionQueue) => number): number =>
		[...services.values()].reduce((sum, {queue}) => sum + read(queue), 0);

	metrics.registerGauge('admission_waiting', () =>
		sumWaiting((queue) => queue.countWaiting()),
	);
	metrics.registerGauge('admission_waiting_tokens', () =>
		sumWaiting((queue) =>
			[...queue.readWaitingTokens().values()].reduce(
				(sum, tokens) => sum + tokens,
				0,
			),
		),
	);
	return {
		isOn({name, engine}) {
			const isServed =
				engine !== undefined && (served.get(name) ?? isUnlimited(name));
			served.set(name, isServed);
			return isServed;
		},
		enqueue(service, stream) {
			engines.set(service.name, service.engine);
			return open(service.name).queue.enqueue(stream);
		},
		reserve(backend, request) {
			const aheadTokens = view.readLoad(backend.id).prefillTokens;
			return open(backend.service).loads.follow(
				view.reserve(backend, request),
				{aheadTokens, promptTokens: request.promptTokens},
			);
		},
		createReport() {
			const entries = [...services].flatMap(([service, {queue, loads}]) => {
				loads.recordReport();
				return [...queue.readWaitingTokens()].map(
					([priority, tokens]) => [`${service}/${priority}`, tokens] as const,
				);
			});
			return entries.length === 0 ? undefined : Object.fromEntries(entries);
		},
		applyReport(overview) {
			served.clear();
			// Without an overview, the last values stay.
			othersWaiting =
				overview === undefined ? othersWaiting : (overview.waiting ?? {});
			toldAt = overview === undefined ? toldAt : clock.now();
			waitingRanks =
				overview === undefined
					? waitingRanks
					: applyRanks(overview.waitingRanks);
			services.forEach(({queue, loads}) => {
				loads.retain(isKnown);
				queue.evaluate();
			});
		},
		drain() {
			services.forEach(({queue}) => {
				queue.refuseAll();
			});
		},
	};
}

/** Describes what waits for a report; nothing where no stream does. */
export function describeWaiting(
	admission: Pick<Admission, 'createReport'> | undefined,
): Pick<SharedEntryReport, 'waiting'> {
	const waiting = admission?.createReport();
	return waiting === undefined ? {} : {waiting};
}
