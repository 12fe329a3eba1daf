import type {Configuration} from '@lovagevalve/inventory';

/** An entry as the control group lists it. */
export type EntryPeer = Readonly<{
	id: string;
	address: string;
	dataCentre: string;
	state: 'serving' | 'leaving';
	incarnation: string;
}>;

/** The right to take new work under one version of the configuration. */
export type Lease = Readonly<{
	/** Version in force here; 0 for none yet. */
	version: number;
	configuration: Configuration | undefined;
	/** Service of each worker that the inventory names. */
	workers: ReadonlyMap<string, string>;
	/** Monotonic time at which the right ends. */
	expiresAt: number;
	/** Entries that held a lease at the last renewal. */
	entries: readonly EntryPeer[];
}>;

/** What a renewal granted. */
export type LeaseGrant = Readonly<{
	leaseMs: number;
	version: number;
	configuration?: Configuration;
	entries: readonly EntryPeer[];
}>;

/** The lease of an entry that never renewed. */
export const NO_LEASE: Lease = {
	version: 0,
	configuration: undefined,
	workers: new Map(),
	expiresAt: Number.NEGATIVE_INFINITY,
	entries: [],
};

function indexWorkers(
	configuration: Configuration | undefined,
): ReadonlyMap<string, string> {
	const services = configuration?.inventory.services ?? [];
	return new Map(
		services.flatMap((service) =>
			service.workers.map(({id}) => [id, service.id] as const),
		),
	);
}

/**
 * Applies a grant. The lease is counted from when the renewal was asked for,
 * and a grant of an older version than the one in force is ignored.
 */
export function applyGrant(
	lease: Lease,
	grant: LeaseGrant,
	askedAt: number,
): Lease {
	if (grant.version < lease.version) {
		return lease;
	}

	const configuration =
		grant.configuration ??
		(grant.version === lease.version ? lease.configuration : undefined);
	if (!configuration && grant.version > 0) {
		return lease;
	}

	return {
		version: grant.version,
		configuration,
		workers:
			configuration === lease.configuration
				? lease.workers
				: indexWorkers(configuration),
		expiresAt: Math.max(lease.expiresAt, askedAt + grant.leaseMs),
		entries: grant.entries,
	};
}

/** The configuration while the lease lasts. */
export function configurationInForce(
	lease: Lease,
	now: number,
): Configuration | undefined {
	return now < lease.expiresAt ? lease.configuration : undefined;
}

/** Tells whether the inventory names a backend server under this service. */
export function isInInventory(
	lease: Lease,
	announcement: Readonly<{id: string; service: string}>,
): boolean {
	return lease.workers.get(announcement.id) === announcement.service;
}
