import {
	applyLimitNotice,
	type BackendRecord,
	createIncarnationKey,
	isRunningIncarnation,
	keepNewest,
	type LimitNotice,
	type LimitReports,
	type LimitStatement,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';

/**
 * A number that backend servers state in their answers, with the events that count
 * against it, here and at the other entries.
 */
export type LimitStatements = Readonly<{
	/** Applies an answer to a request that was sent at `sentAt`. */
	record: (backend: BackendRecord, notice: LimitNotice, sentAt: number) => void;
	/** What an incarnation states; undefined if nothing is in force. */
	read: (key: string) => number | undefined;
	/** Adds an event of this entry. */
	addEvent: (key: string) => void;
	/** Events of this entry within the window. */
	countHere: (key: string) => number;
	/** Events of the other entries, as of the last report. */
	countElsewhere: (key: string) => number;
	/** Number of incarnations with a statement in force. */
	countInForce: () => number;
	/** What this entry knows and has counted, for the control instances. */
	createReport: () => LimitReports;
	/** Merges what other entries know and have counted. */
	applyReport: (reports: LimitReports) => void;
	/** Forgets the incarnations that have ended. */
	removeEnded: (find: (id: string) => BackendRecord | undefined) => void;
}>;

/** Dependencies of the statements. */
export type LimitStatementsOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	/** Time for which an event counts, in milliseconds. */
	windowMs: number;
	/** Log message for a notice that can't be read. */
	malformedMessage: string;
	/** Called with each statement, also one that repeats the one before. */
	onStatement: (
		key: string,
		after: number | undefined,
		before: number | undefined,
	) => void;
}>;

/** The end of a statement is reported for this long, so that no entry keeps it. */
const ENDED_REPORT_MS = 5000;

/** Creates the statements of backend servers of which none has made one. */
export function createLimitStatements({
	clock,
	log,
	metrics,
	windowMs,
	malformedMessage,
	onStatement,
}: LimitStatementsOptions): LimitStatements {
	const statements = new Map<string, LimitStatement>();
	const eventsAt = new Map<string, readonly number[]>();
	const eventsElsewhere = new Map<string, number>();

	const listEvents = (key: string): readonly number[] =>
		(eventsAt.get(key) ?? []).filter((at) => clock.now() - at < windowMs);

	const update = (key: string, statement: LimitStatement): void => {
		const before = statements.get(key)?.perSecond;
		statements.set(key, statement);
		onStatement(key, statement.perSecond, before);
	};

	return {
		record(backend, notice, sentAt) {
			const key = createIncarnationKey(backend);
			if (notice.kind === 'malformed') {
				metrics.count('malformed_limits');
				log.warn(malformedMessage, {backend: key, text: notice.text});
			}

			const statement = applyLimitNotice(statements.get(key), notice, {
				sentAt,
				now: clock.now(),
			});
			if (statement !== undefined) {
				update(key, statement);
			}
		},
		read: (key) => statements.get(key)?.perSecond,
		addEvent(key) {
			eventsAt.set(key, [...listEvents(key), clock.now()]);
		},
		countHere: (key) => listEvents(key).length,
		countElsewhere: (key) => eventsElsewhere.get(key) ?? 0,
		countInForce: () =>
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
						{perSecond, ageMs: now - at, sent: listEvents(key).length},
					]),
			);
		},
		applyReport(reports) {
			const now = clock.now();
			eventsElsewhere.clear();
			Object.entries(reports).forEach(([key, {perSecond, ageMs, sent}]) => {
				eventsElsewhere.set(key, sent);
				update(
					key,
					keepNewest(statements.get(key), {perSecond, at: now - ageMs}),
				);
			});
		},
		removeEnded(find) {
			[...statements.keys(), ...eventsAt.keys()]
				.filter((key) => !isRunningIncarnation(key, find))
				.forEach((key) => {
					[statements, eventsAt, eventsElsewhere].forEach((known) =>
						known.delete(key),
					);
				});
		},
	};
}
