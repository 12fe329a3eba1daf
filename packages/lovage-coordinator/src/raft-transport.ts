import type {RaftMessage} from '@lovagevalve/consensus';
import type {PeerClient} from '@lovagevalve/runtime';

/**
 * Sends Raft messages in batches, with at most one batch in flight per peer.
 */
export type RaftTransport = Readonly<{
	send: (address: string, message: RaftMessage) => void;
}>;

/** A batch that times out is dropped; Raft retransmits its messages. */
const BATCH_TIMEOUT_MS = 500;
/** Messages queued per peer; beyond that the oldest are dropped. */
const MAX_QUEUED_MESSAGES = 512;
const MAX_BATCH_MESSAGES = 64;
/** A message is longer only if a single entry is; such a one travels alone. */
const MAX_BATCH_CHARACTERS = 524_288;

type PeerQueue = {queue: RaftMessage[]; isSending: boolean};

function countCharacters(message: RaftMessage): number {
	if (message.kind === 'snapshot') {
		return message.data.length;
	}

	const entries = message.kind === 'append' ? message.entries : [];
	return entries.reduce(
		(sum, entry) => sum + (entry.kind === 'command' ? entry.data.length : 0),
		0,
	);
}

/** Counts the messages at the front of a queue that are sent together, at least one. */
export function countBatch(queue: readonly RaftMessage[]): number {
	let characters = 0;
	const end = queue.slice(0, MAX_BATCH_MESSAGES).findIndex((message, i) => {
		characters += countCharacters(message);
		return i > 0 && characters > MAX_BATCH_CHARACTERS;
	});
	return end === -1 ? Math.min(queue.length, MAX_BATCH_MESSAGES) : end;
}

/** Creates the transport; `ownAddress` lets the recipients reply. */
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
			const messages = peer.queue.splice(0, countBatch(peer.queue));
			// Failures are not logged: Raft detects the missing response.
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
