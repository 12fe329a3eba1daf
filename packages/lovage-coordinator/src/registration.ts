import {type BackendRecord, readSoftwareVersion} from '@lovagevalve/dispatch';
import type {Departures} from './departures.js';
import type {Gossiper} from './gossip.js';
import type {Registry} from './registry.js';
import type {VersionHistory} from './version-history.js';

/** What became of a registration. */
export type RegisterOutcome =
	| 'acknowledged'
	/** Too few instances have stored the departure. */
	| 'not-stored'
	/** Refused: too many backend servers or software versions are registered. */
	| 'no-room';

/** Dependencies of the handler of registrations. */
export type RegistrationOptions = Readonly<{
	/** Whether a registration is admitted. */
	isAdmitted: (record: BackendRecord) => boolean;
	registry: Pick<Registry, 'find' | 'register'>;
	versions: Pick<VersionHistory, 'isKnown'>;
	departures: Pick<Departures, 'confirm'>;
	gossiper: Pick<Gossiper, 'sendPending'>;
}>;

/**
 * Creates the handler of the registrations that backend servers send to this
 * instance. A departure is acknowledged once enough instances have stored it.
 */
export function createRegistrationHandler({
	isAdmitted,
	registry,
	versions,
	departures,
	gossiper,
}: RegistrationOptions): (record: BackendRecord) => Promise<RegisterOutcome> {
	return async (record) => {
		if (!isAdmitted(record)) {
			return 'no-room';
		}

		const version = readSoftwareVersion(record);
		const previous = registry.find(record.id);
		const isNewVersion =
			!versions.isKnown(record.service, version) ||
			(previous !== undefined && readSoftwareVersion(previous) !== version);
		registry.register(record);
		if (isNewVersion) {
			// All control instances must know a version before it begins streams.
			gossiper.sendPending();
		}

		const known = registry.find(record.id);
		const isOutdated = known?.bornAt !== record.bornAt;
		const isStored =
			record.state === 'ready' ||
			isOutdated ||
			(await departures.confirm(known));
		return isStored ? 'acknowledged' : 'not-stored';
	};
}
