import type {BackendRecord} from './backend-table.js';
import {readSoftwareVersion} from './stream-origin.js';

/** What a control instance holds when a backend server registers at it. */
export type RegistrationUse = Readonly<{
	/** Registration that it holds under the same id. */
	known: BackendRecord | undefined;
	/** Whether the software version was in service lately. */
	isKnownVersion: boolean;
	/** Registrations held, also of backend servers that are gone or silent. */
	records: number;
	/** Software versions of all services that were in service lately. */
	versions: number;
}>;

/** Whether a registration is taken, or what is full. */
export type RegistrationDecision = 'take' | 'records-full' | 'versions-full';

/**
 * Registrations from which on no further id is taken: ten times 400 backend servers,
 * as ids of ended ones are held for two minutes.
 */
export const MAX_RECORDS = 4096;
/**
 * Software versions from which on no further one is taken: each id may have its own.
 * They are counted twice a second, so that as many may come as there are ids.
 */
export const MAX_VERSIONS = 4096;

/** A heartbeat may leave the version of its incarnation out. */
function isVersionOf(
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
 * Decides whether a registration is taken that a backend server sends. Nothing that
 * is held makes room for something new: whoever is registered stays so, whatever
 * number of others comes. What another control instance has taken is not asked
 * about: all of them hold the same.
 */
export function decideRegistration(
	{known, isKnownVersion, records, versions}: RegistrationUse,
	record: BackendRecord,
): RegistrationDecision {
	if (known === undefined && records >= MAX_RECORDS) {
		return 'records-full';
	}

	const isNewVersion = !isKnownVersion && !isVersionOf(known, record);
	return isNewVersion && versions >= MAX_VERSIONS ? 'versions-full' : 'take';
}
