import type {RaftMessage} from '@lovagevalve/consensus';
import {callRpc, createControlClient, type RpcPool} from '@lovagevalve/wire';

const DELIVER_TIMEOUT_MS = 1000;
/** Messages that wait for one instance; beyond that the oldest are dropped. */
const MAX_QUEUED_MESSAGES = 512;
const MAX_BATCH_MESSAGES = 128;

/** Sends messages to the other control instances, in batches. */
export type Outbox = Readonly<{
	send: (address: string, message: RaftMessage) => void;
	close: () => void;
}>;

type Peer = {queue: RaftMessage[]; isSending: boolean};

/**
 * Creates an outbox. One exchange at a time is under way with each instance;
 * a batch that misses its deadline is dropped, as the log sends it again.
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
			// The next batch goes out when this one has arrived or is lost.
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
