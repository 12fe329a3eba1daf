import type {RaftMessage} from '@lovagevalve/consensus';
import type {PeerClient} from '@lovagevalve/runtime';

/** Sends messages of the replicated log, in batches, one batch a peer at a time. */
export type RaftTransport = Readonly<{
	send: (address: string, message: RaftMessage) => void;
}>;

/** A batch that missed this is dropped; the log sends it again. */
const BATCH_TIMEOUT_MS = 500;
/** Messages that wait for one instance; beyond that the oldest are dropped. */
const MAX_QUEUED_MESSAGES = 512;
const MAX_BATCH_MESSAGES = 64;

type PeerQueue = {queue: RaftMessage[]; isSending: boolean};

/** Creates the sender; `from` is this instance's address. */
export function createRaftTransport(
	client: PeerClient,
	ownAddress: string,
): RaftTransport {
	const queues = new Map<string, PeerQueue>();

	const flush = async (address: string, peer: PeerQueue): Promise<void> => {
		if (peer.isSending) {
			return;
		}

		peer.isSending = true;
		while (peer.queue.length > 0) {
			const messages = peer.queue.splice(0, MAX_BATCH_MESSAGES);
			// A lost batch needs no report: the log notices the missing answer.
			// eslint-disable-next-line no-await-in-loop
			await client.call(
				address,
				'/raft',
				{from: ownAddress, messages},
				BATCH_TIMEOUT_MS,
			);
		}

		peer.isSending = false;
	};

	return {
		send(address, message) {
			const peer = queues.get(address) ?? {queue: [], isSending: false};
			queues.set(address, peer);
			peer.queue.push(message);
			peer.queue.splice(
				0,
				Math.max(0, peer.queue.length - MAX_QUEUED_MESSAGES),
			);
			void flush(address, peer);
		},
	};
}
