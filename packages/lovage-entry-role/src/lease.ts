import type {Configuration} from '@lovagevalve/inventory';

/** An entry as listed by the control group. */
export type EntryPeer = Readonly<{
	id: string;
	address: string;
	dataCentre: string;
	state: 'serving' | 'leaving';
	incarnation: string;
}>;

/** Permission to accept new work under one version of the configuration. */
export type Lease = Readonly<{
	/** Version in force at this entry; 0 before the first. */
	version: number;
	configuration: Configuration | undefined;
	/** Service of each worker in the inventory, by worker id. */
	workers: ReadonlyMap<string, string>;
	/** Monotonic time at which the lease expires. */
	expiresAt: number;
	/** Entries that held a lease at the last renewal. */
	entries: readonly EntryPeer[];
}>;

/** Result of a lease renewal. */
export type LeaseGrant = Readonly<{
	leaseMs: number;
	version: number;
	configuration?: Configuration;
	entries: readonly EntryPeer[];
}>;

/** Lease of an entry before its first renewal. */
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
 * Applies a grant. The lease duration counts from the time of the renewal
 * request, and a grant with a version older than the one in force is ignored.
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

/** Returns the configuration, or `undefined` once the lease has expired. */
export function configurationInForce(
	lease: Lease,
	now: number,
): Configuration | undefined {
	return now < lease.expiresAt ? lease.configuration : undefined;
}

/** Tells whether the inventory lists a backend server for its service. */
export function isInInventory(
	lease: Lease,
	announcement: Readonly<{id: string; service: string}>,
): boolean {
	return lease.workers.get(announcement.id) === announcement.service;
}
