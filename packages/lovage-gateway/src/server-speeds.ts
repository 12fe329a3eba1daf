import {
	addEventGap,
	addSpeeds,
	addSpeedSample,
	areSpeedsFaded,
	assessSpeeds,
	type BackendLoad,
	type BackendRecord,
	type CompactSpeeds,
	computePlainWork,
	computeRelativeSpeed,
	createIncarnationKey,
	decaySpeeds,
	estimateSpeed,
	fromCompactSpeeds,
	isRunningIncarnation,
	NO_SPEED,
	type PlacementRequest,
	type RelativeSpeed,
	type ServiceSpeeds,
	type SpeedSums,
	toCompactSpeeds,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {LoadReservation} from './load-reservations.js';
import type {Run} from './stream-run.js';

/** What is measured of a run of a stream. */
export type MeasuredRun = Pick<
	Run,
	| 'backend'
	| 'isRelayed'
	| 'hasCopy'
	| 'reservation'
	| 'startedAt'
	| 'lastEventAt'
>;

/** Reads the speed of a backend server for placement. */
export type SpeedReader = (backend: BackendRecord) => RelativeSpeed | undefined;

/** Learned speeds of backend servers, as this entry knows them. */
export type ServerSpeeds = Readonly<{
	/** Records that a request is about to be sent to a backend server with this load. */
	recordSending: (
		reservation: LoadReservation,
		request: PlacementRequest,
		load: BackendLoad,
	) => void;
	/** Records a new event of a run, before the run is updated. */
	recordEvent: (run: MeasuredRun) => void;
	/** Records the answer of a plain server. */
	recordAnswer: (reservation: LoadReservation) => void;
	/** Prompt tokens that an engine processes per millisecond; undefined until something is known. */
	readTokensPerMs: (backend: BackendRecord) => number | undefined;
	/** Reads the speeds of the backend servers of a service for placement; undefined where they are alike. */
	findReader: (service: string) => SpeedReader | undefined;
	/** What this entry measured since its last report to a control instance; nothing if none is due. */
	createReport: (control: string) => Readonly<{speeds?: CompactSpeeds}>;
	/** Replaces what the other entries measured of the backend servers that a report names. */
	applyReport: (speeds: CompactSpeeds) => void;
	/** Forgets incarnations that have ended. */
	removeEnded: (find: (id: string) => BackendRecord | undefined) => void;
}>;

/** Dependencies of the learned speeds. */
export type ServerSpeedsOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	listAll: () => Iterable<BackendRecord>;
	/** Backend servers of a service that have not ended. */
	listRegistered: (service: string) => readonly BackendRecord[];
	/** Whether speeds are shared and decide about placement; absent for yes. */
	usesSpeeds?: boolean;
}>;

/** What was known when a request was sent. */
type Sending = Readonly<{sentAt: number; work: number; isEngine: boolean}>;

/** Sums of an incarnation at a time. */
type TimedSums = Readonly<{sums: SpeedSums; at: number}>;

/** Own sums; the time between events alone is not worth a report. */
type OwnSums = TimedSums & Readonly<{sampledAt: number}>;

type Assessment = Readonly<{speeds: ServiceSpeeds; at: number}>;

/** Time for which the assessment of a service is kept. A request needs no newer one; it goes through all backend servers of the service. */
const ASSESSMENT_MS = 200;
/** Time between reports to a control instance: a second, less half of the 200 ms between reports of any kind, so that each fifth one has them. */
const REPORT_PERIOD_MS = 900;
/** Control instances that a report may be due for; more than any group has. */
const MAX_CONTROLS = 16;
/** Number of services with an assessment; more than any configuration has. */
const MAX_SERVICES = 1000;

/** Creates the state of an entry that has measured nothing. */
export function createServerSpeeds({
	clock,
	log,
	metrics,
	listAll,
	listRegistered,
	usesSpeeds = true,
}: ServerSpeedsOptions): ServerSpeeds {
	const own = new Map<string, OwnSums>();
	const others = new Map<string, TimedSums>();
	const sendings = new WeakMap<LoadReservation, Sending>();
	const assessments = new Map<string, Assessment>();
	const reportedAt = new Map<string, number>();
	metrics.registerGauge(
		'services_placed_by_speed',
		() =>
			[...assessments.values()].filter(({speeds}) => speeds.areDifferent)
				.length,
	);
	metrics.registerGauge('backends_measured', () => own.size);

	const readTimed = (found: TimedSums | undefined): SpeedSums =>
		found === undefined
			? NO_SPEED
			: decaySpeeds(found.sums, clock.now() - found.at);

	const readOwn = (key: string): SpeedSums => readTimed(own.get(key));

	const readSums = (backend: BackendRecord): SpeedSums => {
		const key = createIncarnationKey(backend);
		return addSpeeds(readOwn(key), readTimed(others.get(key)));
	};

	const logChange = (
		service: string,
		{spread, medianSpeed, areDifferent}: ServiceSpeeds,
	): void => {
		log.info(
			areDifferent
				? 'Placing requests of a service by learned speeds.'
				: 'No longer placing requests of a service by learned speeds.',
			{
				service,
				spread: Number(spread.toFixed(2)),
				medianSpeed: Number((medianSpeed ?? 0).toPrecision(3)),
			},
		);
	};

	const assess = (service: string): ServiceSpeeds => {
		const now = clock.now();
		const known = assessments.get(service);
		if (known !== undefined && now - known.at < ASSESSMENT_MS) {
			return known.speeds;
		}

		const speeds = assessSpeeds(
			new Map(
				listRegistered(service).map((backend) => [
					createIncarnationKey(backend),
					readSums(backend),
				]),
			),
			known?.speeds,
			now,
		);
		if (known === undefined && assessments.size >= MAX_SERVICES) {
			return speeds;
		}

		assessments.set(service, {speeds, at: now});
		if ((known?.speeds.areDifferent ?? false) !== speeds.areDifferent) {
			logChange(service, speeds);
		}

		return speeds;
	};

	const recordSample = (
		backend: BackendRecord,
		sample: Readonly<{work: number; ms: number}>,
	): void => {
		const key = createIncarnationKey(backend);
		const now = clock.now();
		const sums = addSpeedSample(readOwn(key), sample);
		own.set(key, {sums, at: now, sampledAt: now});
		metrics.count('speed_samples');
	};

	const recordGap = (backend: BackendRecord, ms: number): void => {
		const key = createIncarnationKey(backend);
		own.set(key, {
			sums: addEventGap(readOwn(key), ms),
			at: clock.now(),
			sampledAt: own.get(key)?.sampledAt ?? Number.NEGATIVE_INFINITY,
		});
	};

	/** Records the time since a request was sent, once. */
	const recordEnd = (reservation: LoadReservation, isEngine: boolean): void => {
		const sending = sendings.get(reservation);
		sendings.delete(reservation);
		if (sending?.isEngine === isEngine && sending.work > 0) {
			const {work, sentAt} = sending;
			recordSample(reservation.backend, {work, ms: clock.now() - sentAt});
		}
	};

	return {
		recordSending(reservation, {engine, promptTokens}, load) {
			const isEngine = engine !== undefined;
			sendings.set(reservation, {
				sentAt: clock.now(),
				work: isEngine
					? load.prefillTokens + promptTokens
					: computePlainWork(load.running, reservation.backend.slots),
				isEngine,
			});
		},
		recordEvent({
			backend,
			isRelayed,
			hasCopy,
			reservation,
			startedAt,
			lastEventAt,
		}) {
			if (isRelayed) {
				return;
			}

			if (startedAt !== undefined) {
				recordGap(backend, clock.now() - lastEventAt);
			} else if (!hasCopy) {
				// With a copy of the KV cache, the prompt is not processed.
				recordEnd(reservation, true);
			}
		},
		recordAnswer(reservation) {
			recordEnd(reservation, false);
		},
		readTokensPerMs: (backend) =>
			estimateSpeed(assess(backend.service), readSums(backend)),
		findReader(service) {
			if (!usesSpeeds) {
				return undefined;
			}

			const speeds = assess(service);
			return speeds.areDifferent
				? (backend) => computeRelativeSpeed(speeds, readSums(backend))
				: undefined;
		},
		createReport(control) {
			const now = clock.now();
			const since = reportedAt.get(control) ?? Number.NEGATIVE_INFINITY;
			if (!usesSpeeds || now - since < REPORT_PERIOD_MS) {
				return {};
			}

			if (reportedAt.size >= MAX_CONTROLS) {
				reportedAt.clear();
			}

			reportedAt.set(control, now);
			return {
				speeds: toCompactSpeeds(
					[...own]
						.filter(([, {sampledAt}]) => sampledAt >= since)
						.map(([key]) => [key, readOwn(key)] as const),
				),
			};
		},
		applyReport(speeds) {
			const at = clock.now();
			[...fromCompactSpeeds(speeds)].forEach(([key, sums]) => {
				others.set(key, {sums, at});
			});
			// Samples are compared over time also while this entry has few requests.
			new Set([...listAll()].map(({service}) => service)).forEach(assess);
		},
		removeEnded(find) {
			[own, others].forEach((known: Map<string, TimedSums>) => {
				[...known]
					.filter(
						([key, timed]) =>
							!isRunningIncarnation(key, find) ||
							areSpeedsFaded(readTimed(timed)),
					)
					.forEach(([key]) => {
						known.delete(key);
					});
			});
		},
	};
}
