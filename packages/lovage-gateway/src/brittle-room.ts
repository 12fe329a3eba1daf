import {
	type BackendRecord,
	countBorrowers,
	countOwnSlots,
	type Occupancy,
	type PlacementRequest,
} from '@lovagevalve/dispatch';

/** What an entry knows of the requests at backend servers. */
export type RoomSources = Readonly<{
	/** Backend servers of all services, also those that have ended. */
	listBackends: () => Iterable<BackendRecord>;
	/** Requests of this entry that were meant for a backend server. */
	countOwn: (id: string) => number;
	/** Requests of this entry at an address, whichever incarnation they were meant for. */
	countAtAddress: (address: string) => number;
	/** Requests of the other entries at a backend server, as of their last reports. */
	countOthers: (id: string) => number;
	/** Position of this entry among those that serve. */
	readRank: () => Readonly<{rank: number; instances: number}>;
}>;

type Need = Pick<PlacementRequest, 'memoryTokens' | 'engine'>;

function countSlots(
	{slots}: BackendRecord,
	{memoryTokens, engine}: Need,
): number {
	return engine === undefined
		? slots
		: Math.min(
				slots,
				Math.floor(engine.memoryTokens / Math.max(1, memoryTokens)),
			);
}

/** Addresses of backend servers in order; a restart does not change their positions. */
function listAddresses(backends: readonly BackendRecord[]): readonly string[] {
	return [...new Set(backends.map(({address}) => address))].toSorted();
}

/** Describes the load of a brittle backend server and this entry's share of its slots. */
export function describeOccupancy(
	backend: BackendRecord,
	need: Need,
	sources: RoomSources,
): Occupancy {
	const {id, address, service} = backend;
	const {countOwn, countOthers, countAtAddress, readRank} = sources;
	const peers = [...sources.listBackends()].filter(
		(record) => record.service === service && record.state !== 'gone',
	);
	const addresses = listAddresses(peers);
	const slots = countSlots(backend, need);
	const ownRunning = countAtAddress(address);
	const share = {
		position: addresses.indexOf(address),
		backends: addresses.length,
		slots,
		...readRank(),
	};
	return {
		ownRunning,
		running: ownRunning + countOthers(id),
		serviceRunning: peers.reduce(
			(sum, peer) => sum + countOwn(peer.id) + countOthers(peer.id),
			0,
		),
		backends: addresses.length,
		slots,
		ownSlots: countOwnSlots(share),
		borrowers: countBorrowers(share),
	};
}
