import {
	type BackendRecord,
	createIncarnationKey,
	drawLimited,
	isRunningIncarnation,
	LIMIT_WINDOW_MS,
	type LimitCredits,
	type LimitNotice,
	type LimitReports,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import {createLimitStatements} from './limit-statements.js';

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
	let credits: LimitCredits = new Map();
	const logged = new Map<string, number | undefined>();

	const logChange = (key: string, after: number | undefined): void => {
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

	const statements = createLimitStatements({
		clock,
		log,
		metrics,
		windowMs: LIMIT_WINDOW_MS,
		malformedMessage: 'Ignoring a malformed limit.',
		onStatement: logChange,
	});

	const readLimit = (backend: BackendRecord): number | undefined =>
		statements.read(createIncarnationKey(backend));

	return {
		record: statements.record,
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
					sent: statements.countHere(key),
					sentByOthers: statements.countElsewhere(key),
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
				statements.addEvent(drawn.chosen);
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
		countLimited: statements.countInForce,
		createReport: statements.createReport,
		applyReport: statements.applyReport,
		removeEnded(find) {
			statements.removeEnded(find);
			[...logged.keys()]
				.filter((key) => !isRunningIncarnation(key, find))
				.forEach((key) => {
					logged.delete(key);
				});
			credits = new Map(
				[...credits].filter(([key]) => isRunningIncarnation(key, find)),
			);
		},
	};
}
