import {
	type BackendNotice,
	type BackendNotices,
	type BackendRecord,
	type ClosedReason,
	createIncarnationKey,
	findClosedReason,
	recordNotice,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';

type FindBackend = (id: string) => BackendRecord | undefined;

/** Backend servers that said in an answer that they want no more requests. */
export type ClosedBackends = Readonly<{
	/** Why a backend server must not receive requests; undefined if it said nothing. */
	findReason: (backend: BackendRecord) => ClosedReason | undefined;
	/** Applies what a backend server said about itself in an answer. */
	record: (backend: BackendRecord, notice: BackendNotice) => void;
	/** Forgets the backend servers that are known no more. */
	removeEnded: (find: FindBackend) => void;
	/**
	 * Incarnations that said they are leaving but are registered as ready, as
	 * `id/bornAt`.
	 */
	listLeaving: (find: FindBackend) => readonly string[];
	/**
	 * Time until the first of some backend servers ends the pause that it asked for,
	 * in milliseconds; undefined if none of them asked for one.
	 */
	readPauseMs: (backends: readonly BackendRecord[]) => number | undefined;
}>;

/** Creates the state of an entry to which no backend server has said anything. */
export function createClosedBackends({
	clock,
	log,
	metrics,
}: Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
}>): ClosedBackends {
	const noticesById = new Map<string, BackendNotices>();

	const findReason = ({id, bornAt}: BackendRecord): ClosedReason | undefined =>
		findClosedReason(noticesById.get(id), bornAt, clock.now());

	return {
		findReason,
		record({id, bornAt, service}, notice) {
			const now = clock.now();
			const before = noticesById.get(id);
			const after = recordNotice(before, bornAt, notice, now);
			const reason = findClosedReason(after, bornAt, now);
			if (reason === undefined) {
				return;
			}

			noticesById.set(id, after);
			if (findClosedReason(before, bornAt, now) === reason) {
				return;
			}

			metrics.count('backend_notices', {notice: reason});
			log.warn('A backend server wants no more requests.', {
				backend: id,
				service,
				bornAt,
				notice: reason,
				...(reason === 'pushback'
					? {forMs: Math.round(after.pushbackUntil - now)}
					: {}),
			});
		},
		removeEnded(find) {
			[...noticesById.keys()]
				.filter((id) => find(id) === undefined)
				.forEach((id) => {
					noticesById.delete(id);
				});
		},
		listLeaving: (find) =>
			[...noticesById]
				.filter(([id, {bornAt, isLeaving}]) => {
					const record = find(id);
					return (
						isLeaving && record?.bornAt === bornAt && record.state === 'ready'
					);
				})
				.map(([id, {bornAt}]) => createIncarnationKey({id, bornAt})),
		readPauseMs(backends) {
			const waitsMs = backends
				.filter((record) => findReason(record) === 'pushback')
				.map(({id}) => noticesById.get(id)!.pushbackUntil - clock.now());
			return waitsMs.length === 0 ? undefined : Math.min(...waitsMs);
		},
	};
}
