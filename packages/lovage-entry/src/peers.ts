import type {
	BackendAnnouncement,
	HomeAnswer,
	GenerationLocation,
} from '@lovagevalve/entry-role';
import {
	callRpc,
	createEntryPeerClient,
	type Announcement,
	type EntryPeerClient,
	type RpcPool,
} from '@lovagevalve/wire';

const PEER_TIMEOUT_MS = 500;
const BATCH_DELAY_MS = 50;

/** Sends RPCs to the other entries. */
export type Peers = Readonly<{
	/**
	 * Registers a location at its home entry; undefined if the home does not
	 * answer.
	 */
	register: (
		address: string,
		place: GenerationLocation,
	) => Promise<HomeAnswer | undefined>;
	update: (address: string, place: GenerationLocation) => void;
	forget: (address: string, place: GenerationLocation) => void;
	release: (address: string, generation: string) => void;
	/** Relays an announcement to the other entries, in batches. */
	relay: (announcement: BackendAnnouncement) => void;
}>;

/** Creates clients of the entries that `listAddresses` returns. */
export function createPeers(
	pool: RpcPool,
	listAddresses: () => readonly string[],
): Peers {
	const clients = new Map<string, EntryPeerClient>();
	let batch: BackendAnnouncement[] = [];

	const getClient = (address: string): EntryPeerClient => {
		const client = clients.get(address) ?? createEntryPeerClient(address, pool);
		clients.set(address, client);
		return client;
	};

	const send = async <T>(
		address: string,
		exchange: (client: EntryPeerClient, signal: AbortSignal) => Promise<T>,
	): Promise<T | undefined> => {
		const client = getClient(address);
		const answer = await callRpc(
			async (signal) => exchange(client, signal),
			PEER_TIMEOUT_MS,
		);
		return answer.isOk() ? answer.value : undefined;
	};

	const relayBatch = (): void => {
		const announcements = batch as unknown as Announcement[];
		batch = [];
		listAddresses().forEach((address) => {
			void send(address, async (client, signal) =>
				client.relayAnnouncements.mutate({announcements}, {signal}),
			);
		});
	};

	return {
		register: async (address, place) =>
			send(address, async (client, signal) =>
				client.registerGeneration.mutate(place, {signal}),
			),
		update(address, place) {
			void send(address, async (client, signal) =>
				client.registerGeneration.mutate(place, {signal}),
			);
		},
		forget(address, place) {
			void send(address, async (client, signal) =>
				client.forgetGeneration.mutate(place, {signal}),
			);
		},
		release(address, generation) {
			void send(address, async (client, signal) =>
				client.releaseGeneration.mutate({generation}, {signal}),
			);
		},
		relay(announcement) {
			batch.push(announcement);
			if (batch.length === 1) {
				setTimeout(relayBatch, BATCH_DELAY_MS);
			}
		},
	};
}
