import {
	type BackendRecord,
	countBorrowers,
	countOwnSlots,
	type LimitReports,
	type Occupancy,
	type PlacementRequest,
} from '@lovagevalve/dispatch';
import type {BrittleBackends} from './brittle-backends.js';

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

/** Need of a request that fits wherever a slot is free. */
const ANY_NEED: Need = {memoryTokens: 0};

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

/** Room for requests at the backend servers that an entry knows. */
export type BrittleRoom = Readonly<{
	/** Whether a backend server is not brittle, or has room for a request. */
	hasRoom: (backend: BackendRecord, request: PlacementRequest) => boolean;
	/** Records that a backend server turned a request away whose load is released. */
	recordRejection: (backend: BackendRecord) => void;
	/** Applies a report; `changed` are the backend servers that it lists. */
	applyReport: (
		changed: readonly BackendRecord[],
		reports: LimitReports | undefined,
		find: (id: string) => BackendRecord | undefined,
	) => void;
}>;

/** Creates the room at brittle backend servers. */
export function createBrittleRoom(
	brittle: BrittleBackends,
	sources: RoomSources,
): BrittleRoom {
	return {
		hasRoom: (backend, request) =>
			!brittle.isBrittle(backend) ||
			brittle.accepts(
				backend,
				describeOccupancy(backend, request, sources),
				request.excluded.length > 0,
			),
		recordRejection(backend) {
			if (brittle.isBrittle(backend)) {
				brittle.recordRejection(
					backend,
					describeOccupancy(backend, ANY_NEED, sources),
				);
			}
		},
		applyReport(changed, reports, find) {
			changed.forEach(({id}) => {
				const record = find(id);
				if (record !== undefined) {
					brittle.recordKnown(record);
				}
			});
			brittle.removeEnded(find);
			if (reports !== undefined) {
				brittle.applyReport(reports, find);
			}
		},
	};
}
