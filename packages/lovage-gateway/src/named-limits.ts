import {
	applyLimitNotice,
	type BackendRecord,
	type LimitNotice,
	type LimitStatement,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';

/** Limits that backend servers name in their answers. */
export type NamedLimits = Readonly<{
	/** Applies an answer to a request that was sent at `sentAt`. */
	record: (backend: BackendRecord, notice: LimitNotice, sentAt: number) => void;
	countLimited: () => number;
}>;

/** Limits that differ by a smaller factor are not logged again. */
const LOGGED_CHANGE = 1.25;

function createKey({id, bornAt}: BackendRecord): string {
	return `${id}/${bornAt}`;
}

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
}: Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
}>): NamedLimits {
	const statements = new Map<string, LimitStatement>();
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

	return {
		record(backend, notice, sentAt) {
			const key = createKey(backend);
			if (notice.kind === 'malformed') {
				metrics.count('malformed_limits');
				log.warn('Ignoring a malformed limit.', {
					backend: key,
					text: notice.text,
				});
			}

			const statement = applyLimitNotice(statements.get(key), notice, {
				sentAt,
				now: clock.now(),
			});
			if (statement !== undefined) {
				statements.set(key, statement);
				logChange(key);
			}
		},
		countLimited: () =>
			[...statements.values()].filter(({perSecond}) => perSecond !== undefined)
				.length,
	};
}
