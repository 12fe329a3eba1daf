import {
	type AvoidReason,
	type BackendHealth,
	type BackendRecord,
	type ExchangeOutcome,
	getAvoidReason,
	isAvoided,
	recordExchange,
	UNKNOWN_HEALTH,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';

/** What the exchanges of this entry showed of the backend servers. */
export type HealthRecords = Readonly<{
	record: (backend: BackendRecord, outcome: ExchangeOutcome) => void;
	/** Forgets what was seen of an earlier incarnation. */
	forget: (id: string) => void;
	/** Why a backend server is avoided; undefined if it is not. */
	findAvoidReason: (id: string) => AvoidReason | undefined;
	isAvoided: (id: string) => boolean;
	/** Whether a backend server responded recently. */
	hasAnsweredLately: (id: string) => boolean;
}>;

/** A response within this time shows that a backend server is alive. */
const RESPONSE_FRESHNESS_MS = 2000;

/** Creates the records of an entry that has had no exchange. */
export function createHealthRecords({
	clock,
	log,
}: Readonly<{clock: Clock; log: Logger}>): HealthRecords {
	const health = new Map<string, BackendHealth>();

	const read = (id: string): BackendHealth => health.get(id) ?? UNKNOWN_HEALTH;

	return {
		record({id}, outcome) {
			const after = recordExchange(read(id), outcome, clock.now());
			health.set(id, after);
			if (after.avoidedUntil > clock.now()) {
				log.warn('Temporarily avoiding a backend server.', {
					backend: id,
					signal: outcome,
					forMs: Math.round(after.avoidedUntil - clock.now()),
				});
			}
		},
		forget(id) {
			health.delete(id);
		},
		findAvoidReason: (id) => getAvoidReason(read(id), clock.now()),
		isAvoided: (id) => isAvoided(read(id), clock.now()),
		hasAnsweredLately(id) {
			const {answeredAt} = read(id);
			return (
				answeredAt !== undefined &&
				clock.now() - answeredAt < RESPONSE_FRESHNESS_MS
			);
		},
	};
}
