import {
	type BackendRecord,
	decideRegistration,
	readSoftwareVersion,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {Registry} from './registry.js';
import type {VersionHistory} from './version-history.js';

/** Dependencies of the admission of registrations. */
export type RegistrationAdmissionOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: Pick<PrometheusMetrics, 'count'>;
	registry: Pick<Registry, 'find' | 'count'>;
	versions: Pick<VersionHistory, 'isKnown' | 'count'>;
}>;

const LOG_INTERVAL_MS = 1000;

/**
 * Creates a function that decides whether a registration is admitted. Refusals are
 * counted, and logged at most once a second.
 */
export function createRegistrationAdmission({
	clock,
	log,
	metrics,
	registry,
	versions,
}: RegistrationAdmissionOptions): (record: BackendRecord) => boolean {
	let loggedAt = Number.NEGATIVE_INFINITY;
	let refusedSinceLog = 0;
	return (record) => {
		const {id, service} = record;
		const softwareVersion = readSoftwareVersion(record);
		const use = {
			known: registry.find(id),
			isKnownVersion: versions.isKnown(service, softwareVersion),
			records: registry.count(),
			versions: versions.count(),
		};
		const decision = decideRegistration(use, record);
		if (decision === 'take') {
			return true;
		}

		metrics.count('registrations_refused', {decision});
		refusedSinceLog += 1;
		if (clock.now() - loggedAt >= LOG_INTERVAL_MS) {
			log.warn('Refused a registration, as there is no room.', {
				backend: id,
				service,
				softwareVersion,
				decision,
				records: use.records,
				versions: use.versions,
				refused: refusedSinceLog,
			});
			loggedAt = clock.now();
			refusedSinceLog = 0;
		}

		return false;
	};
}
