import {needsJoin} from '@lovagevalve/consensus';
import type {Clock, Logger} from '@lovagevalve/runtime';
import {
	callRpc,
	createControlClient,
	type JoinRequest,
	type RpcPool,
} from '@lovagevalve/wire';
import type {ControlHost} from './host.js';

const JOIN_TIMEOUT_MS = 2000;

/** Dependencies of a group joiner. */
export type GroupJoinerDependencies = Readonly<{
	clock: Clock;
	host: ControlHost;
	pool: RpcPool;
	log: Logger;
	/** Base URLs of the other instances. */
	peers: readonly string[];
	createRequest: () => JoinRequest;
}>;

/**
 * Creates a function that sends a join request to one peer, in turn, and then to
 * the leader that this peer reports. It sends nothing while this instance belongs
 * to a group and hears from its leader.
 */
export function createGroupJoiner(
	dependencies: GroupJoinerDependencies,
): () => Promise<void> {
	const {clock, host, pool, log, peers, createRequest} = dependencies;
	let attempts = 0;
	let isRequesting = false;

	const requestJoin = async (peer: string): Promise<string | undefined> => {
		const client = createControlClient(peer, pool);
		const answer = await callRpc(
			async (signal) => client.join.mutate(createRequest(), {signal}),
			JOIN_TIMEOUT_MS,
		);
		const outcome = answer.match(
			({kind}) => kind,
			({message}) => message,
		);
		log.debug('Sent a join request.', {peer, outcome});
		return answer.match(
			(redirect) =>
				redirect.kind === 'not-leader' ? redirect.leader : undefined,
			() => undefined,
		);
	};

	return async () => {
		const peer = peers[attempts % Math.max(1, peers.length)];
		const shouldJoin = needsJoin(host.getState().raft, clock.now());
		if (peer === undefined || !shouldJoin || isRequesting) {
			return;
		}

		attempts += 1;
		isRequesting = true;
		const leader = await requestJoin(peer);
		if (leader !== undefined && leader !== peer) {
			await requestJoin(leader);
		}

		isRequesting = false;
	};
}
