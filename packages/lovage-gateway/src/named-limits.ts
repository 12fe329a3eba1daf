import {
	applyLimitNotice,
	type BackendRecord,
	createIncarnationKey,
	drawLimited,
	isRunningIncarnation,
	keepNewest,
	LIMIT_WINDOW_MS,
	type LimitCredits,
	type LimitNotice,
	type LimitReports,
	type LimitStatement,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';

/** Limits that backend servers name in their answers. */
export type NamedLimits = Readonly<{
	/** Applies an answer to a request that was sent at `sentAt`. */
	record: (backend: BackendRecord, notice: LimitNotice, sentAt: number) => void;
	/** Whether a backend server has a limit in force. */
	isLimited: (backend: BackendRecord) => boolean;
	/**
	 * Decides which of the limited backend servers gets a request, if any. Each call
	 * is a request of the service.
	 */
	draw: (
		service: string,
		limited: readonly BackendRecord[],
		unlimitedSlots: number,
	) => BackendRecord | undefined;
	/** Time after which a limited backend server takes the next request, in milliseconds. */
	readRetryAfterMs: (limited: readonly BackendRecord[]) => number;
	countLimited: () => number;
	/** Limits that this entry knows and what it sent, for the control instances. */
	createReport: () => LimitReports;
	/** Merges the limits that other entries know. */
	applyReport: (limits: LimitReports) => void;
	/** Forgets the incarnations that have ended. */
	removeEnded: (find: (id: string) => BackendRecord | undefined) => void;
}>;

/** Limits that differ by a smaller factor are not logged again. */
const LOGGED_CHANGE = 1.25;

/** The end of a limit is reported for this long, so that no entry keeps it. */
const ENDED_REPORT_MS = 5000;
/** Longest time to come back; callers try another entry by then. */
const MAX_RETRY_AFTER_MS = 3000;
const MIN_RETRY_AFTER_MS = 300;

function isNotable(
	before: number | undefined,
	after: number | undefined,
): boolean {
	return before === undefined || after === undefined
		? before !== after
		: Math.max(before, after) > Math.min(before, after) * LOGGED_CHANGE;
}

/** Creates the limits of backend servers of which none has named one. */
export function createNamedLimits({
	clock,
	log,
	metrics,
	initialCredit,
	readDemand,
}: Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	/** Random number in [0, 1) of this instance. */
	initialCredit: number;
	/** Requests a second for a service at all entries. */
	readDemand: (service: string) => number;
}>): NamedLimits {
	const statements = new Map<string, LimitStatement>();
	/** Times of the requests to limited backend servers within the window. */
	const sentAt = new Map<string, readonly number[]>();
	const sentByOthers = new Map<string, number>();
	let credits: LimitCredits = new Map();
	const logged = new Map<string, number | undefined>();

	const logChange = (key: string): void => {
		const after = statements.get(key)?.perSecond;
		if (!isNotable(logged.get(key), after)) {
			return;
		}

		logged.set(key, after);
		log.warn(
			after === undefined
				? 'A backend server names no limit any more.'
				: 'A backend server named its limit.',
			{backend: key, ...(after === undefined ? {} : {perSecond: after})},
		);
	};

	const listSent = (key: string): readonly number[] =>
		(sentAt.get(key) ?? []).filter((at) => clock.now() - at < LIMIT_WINDOW_MS);

	const readLimit = (backend: BackendRecord): number | undefined =>
		statements.get(createIncarnationKey(backend))?.perSecond;

	const update = (key: string, statement: LimitStatement): void => {
		statements.set(key, statement);
		logChange(key);
	};

	return {
		record(backend, notice, requestSentAt) {
			const key = createIncarnationKey(backend);
			if (notice.kind === 'malformed') {
				metrics.count('malformed_limits');
				log.warn('Ignoring a malformed limit.', {
					backend: key,
					text: notice.text,
				});
			}

			const statement = applyLimitNotice(statements.get(key), notice, {
				sentAt: requestSentAt,
				now: clock.now(),
			});
			if (statement !== undefined) {
				update(key, statement);
			}
		},
		isLimited: (backend) => readLimit(backend) !== undefined,
		draw(service, limited, unlimitedSlots) {
			if (limited.length === 0) {
				return undefined;
			}

			const candidates = limited.map((backend) => {
				const key = createIncarnationKey(backend);
				return {
					key,
					perSecond: readLimit(backend) ?? 0,
					slots: backend.slots,
					sent: listSent(key).length,
					sentByOthers: sentByOthers.get(key) ?? 0,
				};
			});
			const context = {
				demandPerSecond: readDemand(service),
				unlimitedSlots,
				initialCredit,
			};
			const drawn = drawLimited(candidates, context, credits);
			credits = drawn.credits;
			if (drawn.chosen !== undefined) {
				sentAt.set(drawn.chosen, [...listSent(drawn.chosen), clock.now()]);
			}

			return limited.find(
				(backend) => createIncarnationKey(backend) === drawn.chosen,
			);
		},
		readRetryAfterMs(limited) {
			const perSecond = limited.reduce(
				(sum, backend) => sum + (readLimit(backend) ?? 0),
				0,
			);
			return Math.min(
				MAX_RETRY_AFTER_MS,
				Math.max(MIN_RETRY_AFTER_MS, 1000 / Math.max(0.1, perSecond)),
			);
		},
		countLimited: () =>
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
						{perSecond, ageMs: now - at, sent: listSent(key).length},
					]),
			);
		},
		applyReport(limits) {
			const now = clock.now();
			sentByOthers.clear();
			Object.entries(limits).forEach(([key, {perSecond, ageMs, sent}]) => {
				sentByOthers.set(key, sent);
				update(
					key,
					keepNewest(statements.get(key), {perSecond, at: now - ageMs}),
				);
			});
		},
		removeEnded(find) {
			[...statements.keys()]
				.filter((key) => !isRunningIncarnation(key, find))
				.forEach((key) => {
					statements.delete(key);
					logged.delete(key);
					sentAt.delete(key);
				});
			credits = new Map([...credits].filter(([key]) => statements.has(key)));
		},
	};
}
