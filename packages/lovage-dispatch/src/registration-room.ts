import type {BackendRecord} from './backend-table.js';
import {readSoftwareVersion} from './stream-origin.js';

/** What a control instance holds when a backend server registers at it. */
export type RegistrationUse = Readonly<{
	/** Record that it holds under the same id. */
	known: BackendRecord | undefined;
	/** Whether the service's software version was in service lately. */
	isKnownVersion: boolean;
	/** Number of records held, including those of backend servers that are gone or silent. */
	records: number;
	/** Number of software versions, of all services, that were in service lately. */
	versions: number;
}>;

/** Whether a registration is taken, or which limit refuses it. */
export type RegistrationDecision = 'take' | 'records-full' | 'versions-full';

/**
 * Limit of the records held; at the limit, new ids are refused. Ten times 400 backend
 * servers, as records of ended ones are kept for two minutes.
 */
export const MAX_RECORDS = 4096;
/**
 * Limit of the software versions; at the limit, new ones are refused. As high as the
 * limit of ids, each of which may have its own version. The count is updated twice a
 * second, so that up to one version per id may exceed the limit meanwhile.
 */
export const MAX_VERSIONS = 4096;

/**
 * Whether a registration has the version of the known record. Renewals of the same
 * incarnation may omit it.
 */
function hasSameVersion(
	known: BackendRecord | undefined,
	record: BackendRecord,
): boolean {
	return (
		known?.service === record.service &&
		(readSoftwareVersion(known) === readSoftwareVersion(record) ||
			(known.bornAt === record.bornAt && record.softwareVersion === undefined))
	);
}

/**
 * Decides whether a control instance takes a registration that a backend server sends
 * to it. New registrations never evict known ones, so that a flood of them can't push
 * out backend servers in service. Records from other control instances are not
 * checked, so that all instances hold the same ones.
 */
export function decideRegistration(
	{known, isKnownVersion, records, versions}: RegistrationUse,
	record: BackendRecord,
): RegistrationDecision {
	if (known === undefined && records >= MAX_RECORDS) {
		return 'records-full';
	}

	const isNewVersion = !isKnownVersion && !hasSameVersion(known, record);
	return isNewVersion && versions >= MAX_VERSIONS ? 'versions-full' : 'take';
}
