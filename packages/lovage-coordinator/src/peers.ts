import type {RaftMessage} from '@lovagevalve/consensus';
import type {PeerClient} from '@lovagevalve/runtime';

/** Sends messages of the replicated log, in batches, one batch a peer at a time. */
export type Peers = Readonly<{
	send: (address: string, message: RaftMessage) => void;
}>;

/** A batch that missed this is dropped; the log sends it again. */
const DELIVER_TIMEOUT_MS = 500;
/** Messages that wait for one instance; beyond that the oldest are dropped. */
const MAX_QUEUED = 512;
const MAX_BATCH = 64;

type Peer = {queue: RaftMessage[]; isSending: boolean};

/** Creates the sender; `from` is this instance's address. */
export function createPeers(client: PeerClient, from: string): Peers {
	const peers = new Map<string, Peer>();

	const flush = async (address: string, peer: Peer): Promise<void> => {
		if (peer.isSending) {
			return;
		}

		peer.isSending = true;
		while (peer.queue.length > 0) {
			const messages = peer.queue.splice(0, MAX_BATCH);
			// A lost batch needs no report: the log notices the missing answer.
			// eslint-disable-next-line no-await-in-loop
			await client.call(address, '/raft', {from, messages}, DELIVER_TIMEOUT_MS);
		}

		peer.isSending = false;
	};

	return {
		send(address, message) {
			const peer = peers.get(address) ?? {queue: [], isSending: false};
			peers.set(address, peer);
			peer.queue.push(message);
			peer.queue.splice(0, Math.max(0, peer.queue.length - MAX_QUEUED));
			void flush(address, peer);
		},
	};
}
