import type {ReplicaId} from '@lovagevalve/consensus';

/** Addresses from which replicas sent messages, for answers to those that are no members. */
export type SenderAddresses = Readonly<{
	learn: (replica: ReplicaId, address: string) => void;
	find: (replica: ReplicaId) => string | undefined;
	/** Drops the least recent addresses beyond the limit. */
	dropOldest: () => void;
}>;

/** Limit of remembered addresses. */
const MAX_ADDRESSES = 32;

/** Creates an empty set of addresses. */
export function createSenderAddresses(): SenderAddresses {
	const addresses = new Map<ReplicaId, string>();
	return {
		learn(replica, address) {
			addresses.delete(replica);
			addresses.set(replica, address);
		},
		find: (replica) => addresses.get(replica),
		dropOldest() {
			[...addresses.keys()]
				.slice(0, Math.max(0, addresses.size - MAX_ADDRESSES))
				.forEach((oldest) => {
					addresses.delete(oldest);
				});
		},
	};
}
