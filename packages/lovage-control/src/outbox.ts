import type {RaftMessage} from '@lovagevalve/consensus';
import {callRpc, createControlClient, type RpcPool} from '@lovagevalve/wire';

const DELIVER_TIMEOUT_MS = 1000;
/** Queued messages per instance; the oldest are dropped above this. */
const MAX_QUEUED_MESSAGES = 512;
const MAX_BATCH_MESSAGES = 128;

/** Sends Raft messages to the other control instances in batches. */
export type Outbox = Readonly<{
	send: (address: string, message: RaftMessage) => void;
	close: () => void;
}>;

type Peer = {queue: RaftMessage[]; isSending: boolean};

/**
 * Creates an outbox. Each instance has at most one call in progress. A batch that
 * times out is dropped, because Raft retransmits its messages.
 */
export function createOutbox(ownAddress: string, pool: RpcPool): Outbox {
	const peers = new Map<string, Peer>();
	const abortController = new AbortController();

	const sendQueued = async (address: string, peer: Peer): Promise<void> => {
		if (peer.isSending) {
			return;
		}

		peer.isSending = true;
		const client = createControlClient(address, pool);
		while (peer.queue.length > 0 && !abortController.signal.aborted) {
			const messages = peer.queue.splice(0, MAX_BATCH_MESSAGES);
			// The next batch is sent when this call has succeeded or failed.
			// eslint-disable-next-line no-await-in-loop
			await callRpc(
				async (signal) =>
					client.deliver.mutate({from: ownAddress, messages}, {signal}),
				DELIVER_TIMEOUT_MS,
			);
		}

		peer.isSending = false;
	};

	return {
		send(address, message) {
			const peer = peers.get(address) ?? {queue: [], isSending: false};
			peers.set(address, peer);
			peer.queue.push(message);
			peer.queue.splice(0, peer.queue.length - MAX_QUEUED_MESSAGES);
			void sendQueued(address, peer);
		},
		close() {
			abortController.abort();
		},
	};
}
