import {
	acceptsBrittle,
	type BackendRecord,
	chooseCoolDownMs,
	clearHand,
	countRejected,
	countRepeats,
	createIncarnationKey,
	createSpreadDraws,
	dealDraw,
	isRunningIncarnation,
	isBorrowedSlot,
	type LimitNotice,
	type LimitReports,
	mayBorrowSlot,
	type Occupancy,
	parseIncarnationKey,
	REJECTION_WINDOW_MS,
	type SpreadDraws,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import {createLimitStatements} from './limit-statements.js';
import {createSteadyBackends} from './steady-backends.js';

/** Backend servers that fall over when they turn too many requests away. */
export type BrittleBackends = Readonly<{
	/** Applies an answer to a request that was sent at `sentAt`. */
	record: (backend: BackendRecord, notice: LimitNotice, sentAt: number) => void;
	/** Records that a backend server turned a request away, which no longer counts there. */
	recordRejection: (backend: BackendRecord, occupancy: Occupancy) => void;
	/** Records that a backend server is registered, brittle or not. */
	recordKnown: (backend: BackendRecord) => void;
	/** Records that a backend server could not be reached. */
	recordUnreachable: (backend: BackendRecord) => void;
	/** Whether a backend server is brittle, or a new one of a service that is. */
	isBrittle: (backend: BackendRecord) => boolean;
	/** Whether a brittle backend server may be sent a request. */
	accepts: (
		backend: BackendRecord,
		occupancy: Occupancy,
		isRetry: boolean,
	) => boolean;
	countBrittle: () => number;
	/** What this entry knows and has seen, for the control instances. */
	createReport: () => LimitReports;
	/** Merges what other entries know and have seen. */
	applyReport: (
		reports: LimitReports,
		find: (id: string) => BackendRecord | undefined,
	) => void;
	/** Forgets the incarnations that have ended. */
	removeEnded: (find: (id: string) => BackendRecord | undefined) => void;
}>;

/** Dependencies of the state. */
export type BrittleBackendsOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	random: () => number;
	/** Number of entries in service. */
	countEntries: () => number;
}>;

/** A service whose backend servers have not named it for this long is no longer brittle. */
const SERVICE_RETENTION_MS = 5000;

/** Time until which a backend server is sent less, and rejections in a row that led to it. */
type CoolDown = Readonly<{until: number; repeats: number}>;

const NO_COOL_DOWN: CoolDown = {until: Number.NEGATIVE_INFINITY, repeats: 0};

/** Creates the state of backend servers of which none is brittle. */
export function createBrittleBackends({
	clock,
	log,
	metrics,
	random,
	countEntries,
}: BrittleBackendsOptions): BrittleBackends {
	/** After rejections of requests that used slots of this entry. */
	const coolDowns = new Map<string, CoolDown>();
	/** After rejections of requests that used slots of other entries. */
	const borrowingPauses = new Map<string, CoolDown>();
	const steady = createSteadyBackends(clock);
	/** Draws for slots of other entries, by incarnation; the next report replaces them. */
	const borrowDraws = new Map<string, number>();
	/** What is left to deal, by service. */
	const drawsByService = new Map<string, SpreadDraws>();
	/** Incarnations that have answered, by key. */
	const answered = new Set<string>();
	/** What the backend servers of a service last allowed, by service. */
	const namedByService = new Map<string, Readonly<{max: number; at: number}>>();

	const statements = createLimitStatements({
		clock,
		log,
		metrics,
		windowMs: REJECTION_WINDOW_MS,
		malformedMessage:
			'Ignoring a malformed notice of a brittle backend server.',
		onStatement(key, after, before) {
			if (before === undefined && after !== undefined) {
				const {id, bornAt} = parseIncarnationKey(key);
				steady.recordBrittle(id, bornAt);
			}

			if (before !== after) {
				log.warn(
					after === undefined
						? 'A backend server is no longer brittle.'
						: 'A backend server is brittle.',
					{
						backend: key,
						...(after === undefined ? {} : {maxRejections: after}),
					},
				);
			}
		},
	});

	/** One that has not answered yet is taken to be as the others of its service. */
	const readMaxRejections = (backend: BackendRecord): number | undefined => {
		const key = createIncarnationKey(backend);
		const own = statements.read(key);
		if (own !== undefined || answered.has(key)) {
			return own;
		}

		const named = namedByService.get(backend.service);
		return named !== undefined && clock.now() - named.at < SERVICE_RETENTION_MS
			? named.max
			: undefined;
	};

	/** Entries that get no answers themselves must know of a service, too. */
	const recordService = (
		service: string,
		statement: Readonly<{max: number; at: number}>,
	): void => {
		const known = namedByService.get(service);
		if (known === undefined || known.at <= statement.at) {
			namedByService.set(service, statement);
		}
	};

	const readBorrowDraw = (
		{service}: BackendRecord,
		key: string,
		backends: number,
	): number => {
		const known = borrowDraws.get(key);
		if (known !== undefined) {
			return known;
		}

		const before = drawsByService.get(service) ?? createSpreadDraws(random());
		const {draw, draws} = dealDraw(before, backends, random());
		drawsByService.set(service, draws);
		borrowDraws.set(key, draw);
		return draw;
	};

	return {
		record(backend, notice, sentAt) {
			answered.add(createIncarnationKey(backend));
			if (notice.kind === 'named') {
				recordService(backend.service, {
					max: notice.perSecond,
					at: clock.now(),
				});
			}

			statements.record(backend, notice, sentAt);
		},
		recordRejection(backend, occupancy) {
			const key = createIncarnationKey(backend);
			const maxRejections = readMaxRejections(backend);
			if (maxRejections === undefined) {
				return;
			}

			const now = clock.now();
			const isBorrowed = isBorrowedSlot(occupancy);
			const pauses = isBorrowed ? borrowingPauses : coolDowns;
			const previous = pauses.get(key) ?? NO_COOL_DOWN;
			const repeats = countRepeats(previous.repeats, previous.until, now);
			const forMs = chooseCoolDownMs(
				maxRejections,
				countRejected(isBorrowed, countEntries(), backend.slots),
				repeats,
				random(),
			);
			statements.addEvent(key);
			pauses.set(key, {
				until: Math.max(previous.until, now + forMs),
				repeats,
			});
			metrics.count('brittle_rejections');
			log.warn('A brittle backend server turned a request away.', {
				backend: key,
				maxRejections,
				here: statements.countHere(key),
				elsewhere: statements.countElsewhere(key),
				isBorrowed,
				repeats,
				forMs: Math.round(forMs),
			});
		},
		recordKnown: steady.recordKnown,
		recordUnreachable: steady.recordUnreachable,
		isBrittle: (backend) => readMaxRejections(backend) !== undefined,
		accepts(backend, occupancy, isRetry) {
			const key = createIncarnationKey(backend);
			const now = clock.now();
			return acceptsBrittle({
				maxRejections: readMaxRejections(backend) ?? 0,
				rejections: statements.countHere(key) + statements.countElsewhere(key),
				isCoolingDown: now < (coolDowns.get(key) ?? NO_COOL_DOWN).until,
				isBorrowingPaused:
					now < (borrowingPauses.get(key) ?? NO_COOL_DOWN).until,
				isRetry,
				mayBorrow: mayBorrowSlot({
					...occupancy,
					steadyForMs: steady.readSteadyMs(backend),
					draw: readBorrowDraw(backend, key, occupancy.backends),
				}),
				occupancy,
			});
		},
		countBrittle: statements.countInForce,
		createReport: statements.createReport,
		applyReport(reports, find) {
			borrowDraws.clear();
			drawsByService.forEach((draws, service) => {
				drawsByService.set(service, clearHand(draws));
			});
			statements.applyReport(reports);
			Object.entries(reports).forEach(([key, {perSecond, ageMs}]) => {
				const service = find(parseIncarnationKey(key).id)?.service;
				if (service !== undefined && perSecond !== undefined) {
					recordService(service, {max: perSecond, at: clock.now() - ageMs});
				}
			});
		},
		removeEnded(find) {
			statements.removeEnded(find);
			steady.removeEnded(find);
			[...answered, ...coolDowns.keys(), ...borrowingPauses.keys()]
				.filter((key) => !isRunningIncarnation(key, find))
				.forEach((key) => {
					[answered, coolDowns, borrowingPauses, borrowDraws].forEach((known) =>
						known.delete(key),
					);
				});
		},
	};
}
