import {type AgedRecord, decodeRecord} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';

/** Keeps the sound records of a report; an earlier build checks fewer fields. */
export type RecordFilter = (records: readonly unknown[]) => AgedRecord[];

const LOG_INTERVAL_MS = 1000;

/** Creates a filter that counts what it drops, and logs it at most once a second. */
export function createRecordFilter({
	clock,
	log,
	metrics,
}: Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
}>): RecordFilter {
	let loggedAt = Number.NEGATIVE_INFINITY;
	const recordRefusal = (backend: string, reason: string): void => {
		metrics.count('records_refused');
		if (clock.now() - loggedAt >= LOG_INTERVAL_MS) {
			loggedAt = clock.now();
			log.warn('Dropped a record of a backend server.', {backend, reason});
		}
	};

	return (records) => {
		const decoded = records.map((record) => decodeRecord(record));
		decoded.forEach((one) => {
			if (one.kind === 'refused') {
				recordRefusal(one.id, one.reason);
			}
		});
		return decoded.flatMap((one) => (one.kind === 'sound' ? [one.record] : []));
	};
}
