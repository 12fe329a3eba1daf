import {
	acceptsBrittle,
	applyLimitNotice,
	type BackendRecord,
	chooseCoolDownMs,
	countRepeats,
	createIncarnationKey,
	isRunningIncarnation,
	keepNewest,
	type LimitNotice,
	type LimitReports,
	type LimitStatement,
	mayBorrowSlot,
	type Occupancy,
	REJECTION_WINDOW_MS,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';

/** Backend servers that fall over when they turn too many requests away. */
export type BrittleBackends = Readonly<{
	/** Applies an answer to a request that was sent at `sentAt`. */
	record: (backend: BackendRecord, notice: LimitNotice, sentAt: number) => void;
	/** Records that a backend server turned a request away. */
	recordRejection: (backend: BackendRecord) => void;
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
	applyReport: (reports: LimitReports) => void;
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
/** The end of brittleness is reported for this long, so that no entry keeps it. */
const ENDED_REPORT_MS = 5000;

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
	const statements = new Map<string, LimitStatement>();
	/** Times of rejections that this entry saw within the window. */
	const rejectedAt = new Map<string, readonly number[]>();
	const rejectedForOthers = new Map<string, number>();
	const coolDowns = new Map<string, CoolDown>();
	/** Times at which an incarnation became known, or could last not be reached. */
	const steadySince = new Map<string, number>();
	/** Draws for slots of other entries, until their loads are known anew. */
	const borrowDraws = new Map<string, number>();
	/** Incarnations that have answered, by key, with their service. */
	const answered = new Set<string>();
	/** What the backend servers of a service last allowed, by service. */
	const namedByService = new Map<string, Readonly<{max: number; at: number}>>();

	/** One that has not answered yet is taken to be as the others of its service. */
	const readMaxRejections = (backend: BackendRecord): number | undefined => {
		const key = createIncarnationKey(backend);
		const own = statements.get(key)?.perSecond;
		if (own !== undefined || answered.has(key)) {
			return own;
		}

		const named = namedByService.get(backend.service);
		return named !== undefined && clock.now() - named.at < SERVICE_RETENTION_MS
			? named.max
			: undefined;
	};

	const listRejections = (key: string): readonly number[] =>
		(rejectedAt.get(key) ?? []).filter(
			(at) => clock.now() - at < REJECTION_WINDOW_MS,
		);

	const update = (key: string, statement: LimitStatement): void => {
		const before = statements.get(key)?.perSecond;
		const after = statement.perSecond;
		statements.set(key, statement);
		steadySince.set(key, steadySince.get(key) ?? clock.now());
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
	};

	const readBorrowDraw = (key: string): number => {
		const draw = borrowDraws.get(key) ?? random();
		borrowDraws.set(key, draw);
		return draw;
	};

	return {
		record(backend, notice, sentAt) {
			const key = createIncarnationKey(backend);
			if (notice.kind === 'malformed') {
				metrics.count('malformed_limits');
				log.warn('Ignoring a malformed notice of a brittle backend server.', {
					backend: key,
					text: notice.text,
				});
			}

			answered.add(key);
			if (notice.kind === 'named') {
				namedByService.set(backend.service, {
					max: notice.perSecond,
					at: clock.now(),
				});
			}

			const statement = applyLimitNotice(statements.get(key), notice, {
				sentAt,
				now: clock.now(),
			});
			if (statement !== undefined) {
				update(key, statement);
			}
		},
		recordRejection(backend) {
			const key = createIncarnationKey(backend);
			const maxRejections = readMaxRejections(backend);
			if (maxRejections === undefined) {
				return;
			}

			const now = clock.now();
			const previous = coolDowns.get(key) ?? NO_COOL_DOWN;
			const repeats = countRepeats(previous.repeats, previous.until, now);
			const forMs = chooseCoolDownMs(
				maxRejections,
				countEntries(),
				repeats,
				random(),
			);
			rejectedAt.set(key, [...listRejections(key), now]);
			coolDowns.set(key, {
				until: Math.max(previous.until, now + forMs),
				repeats,
			});
			metrics.count('brittle_rejections');
			log.warn('A brittle backend server turned a request away.', {
				backend: key,
				maxRejections,
				here: listRejections(key).length,
				elsewhere: rejectedForOthers.get(key) ?? 0,
				repeats,
				forMs: Math.round(forMs),
			});
		},
		recordUnreachable(backend) {
			const key = createIncarnationKey(backend);
			if (steadySince.has(key)) {
				steadySince.set(key, clock.now());
			}
		},
		isBrittle: (backend) => readMaxRejections(backend) !== undefined,
		accepts(backend, occupancy, isRetry) {
			const key = createIncarnationKey(backend);
			const now = clock.now();
			return acceptsBrittle({
				maxRejections: readMaxRejections(backend) ?? 0,
				rejections:
					listRejections(key).length + (rejectedForOthers.get(key) ?? 0),
				isCoolingDown: now < (coolDowns.get(key) ?? NO_COOL_DOWN).until,
				isRetry,
				mayBorrow: mayBorrowSlot({
					...occupancy,
					steadyForMs: now - (steadySince.get(key) ?? now),
					draw: readBorrowDraw(key),
				}),
				occupancy,
			});
		},
		countBrittle: () =>
			[...statements.values()].filter(({perSecond}) => perSecond !== undefined)
				.length,
		createReport() {
			const now = clock.now();
			return Object.fromEntries(
				[...statements]
					.filter(
						([, {perSecond, at}]) =>
							perSecond !== undefined || now - at < ENDED_REPORT_MS,
					)
					.map(([key, {perSecond, at}]) => [
						key,
						{perSecond, ageMs: now - at, sent: listRejections(key).length},
					]),
			);
		},
		applyReport(reports) {
			const now = clock.now();
			rejectedForOthers.clear();
			borrowDraws.clear();
			Object.entries(reports).forEach(([key, {perSecond, ageMs, sent}]) => {
				rejectedForOthers.set(key, sent);
				update(
					key,
					keepNewest(statements.get(key), {perSecond, at: now - ageMs}),
				);
			});
		},
		removeEnded(find) {
			[...answered, ...statements.keys()]
				.filter((key) => !isRunningIncarnation(key, find))
				.forEach((key) => {
					answered.delete(key);
					[
						statements,
						rejectedAt,
						rejectedForOthers,
						coolDowns,
						steadySince,
						borrowDraws,
					].forEach((known) => known.delete(key));
				});
		},
	};
}
