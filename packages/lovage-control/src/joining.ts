import type {Logger} from '@lovagevalve/runtime';
import {
	callRpc,
	createControlClient,
	type JoinRequest,
	type RpcPool,
} from '@lovagevalve/wire';
import type {ControlHost} from './host.js';

const JOIN_TIMEOUT_MS = 2000;

/** What an instance without a group needs to find one. */
export type JoiningParts = Readonly<{
	host: ControlHost;
	pool: RpcPool;
	log: Logger;
	/** The other instances. */
	peers: readonly string[];
	createRequest: () => JoinRequest;
}>;

/**
 * Creates a function that asks one of the others to be taken in, each time
 * another one. An instance that belongs to a group asks nobody.
 */
export function createJoining(parts: JoiningParts): () => Promise<void> {
	const {host, pool, log, peers, createRequest} = parts;
	let turn = 0;
	let isAsking = false;

	const ask = async (peer: string): Promise<void> => {
		const client = createControlClient(peer, pool);
		const answer = await callRpc(
			async (signal) => client.join.mutate(createRequest(), {signal}),
			JOIN_TIMEOUT_MS,
		);
		const outcome = answer.match(
			({kind}) => kind,
			({message}) => message,
		);
		log.debug('Asked to join a group.', {peer, outcome});
	};

	return async () => {
		const peer = peers[turn % Math.max(1, peers.length)];
		const isUnassigned = host.read().raft.role.kind === 'unassigned';
		if (peer === undefined || !isUnassigned || isAsking) {
			return;
		}

		turn += 1;
		isAsking = true;
		await ask(peer);
		isAsking = false;
	};
}
