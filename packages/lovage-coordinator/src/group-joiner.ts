import type {JoiningMember} from '@lovagevalve/consensus';
import type {Logger, PeerClient} from '@lovagevalve/runtime';
import {decodeReplicaStatus} from './decode-messages.js';
import type {Replica} from './replica.js';

/** Status of an instance's replica, as sent to other instances. */
export type ReplicaStatus = Readonly<{
	/** Absent while the disk is unavailable. */
	member?: JoiningMember;
	group?: string;
	/** Address of the leader, if known. */
	leader?: string;
}>;

/** Options of a group joiner. */
export type GroupJoinerOptions = Readonly<{
	log: Logger;
	client: PeerClient;
	replica: Replica;
	name: string;
	/** This instance's address for traffic between instances. */
	address: string;
	/**
	 * Addresses of the founding members; undefined unless this is the first start
	 * of the whole system.
	 */
	founders: readonly string[] | undefined;
	/** Addresses of instances that may belong to a group. */
	listPeers: () => readonly string[];
}>;

/** Bootstraps the group or joins this instance's replica to it. */
export type GroupJoiner = Readonly<{
	readStatus: () => ReplicaStatus;
	/**
	 * Attempts to bootstrap or join the group if needed; called several times a
	 * second.
	 */
	advance: () => Promise<void>;
}>;

const GROUP_NAME = 'lovagevalve';
const CALL_TIMEOUT_MS = 500;

/**
 * Creates a group joiner. Only founding members bootstrap the group, once, when
 * all of them are reachable.
 */
export function createGroupJoiner(options: GroupJoinerOptions): GroupJoiner {
	const {log, client, replica, name, address, founders, listPeers} = options;
	let nextPeerIndex = 0;
	let isBusy = false;

	const readStatus = (): ReplicaStatus => {
		const raft = replica.readRaft();
		return raft === undefined
			? {}
			: {
					member: {replica: raft.replica, name, address},
					group: raft.hardState.group,
					leader: replica.findLeaderAddress(),
				};
	};

	const fetchStatus = async (
		peer: string,
	): Promise<ReplicaStatus | undefined> => {
		const response = await client.call<unknown>(
			peer,
			'/status',
			{},
			CALL_TIMEOUT_MS,
		);
		return response.andThen(decodeReplicaStatus).unwrapOr(undefined);
	};

	const bootstrap = async (addresses: readonly string[]): Promise<void> => {
		const statuses = await Promise.all(
			addresses.map(async (peer) =>
				peer === address ? readStatus() : fetchStatus(peer),
			),
		);
		const members = statuses.flatMap((status) =>
			status?.member === undefined ? [] : [status.member],
		);
		if (members.length === addresses.length) {
			log.info('All founding members are reachable.', {
				founders: addresses.join(' '),
			});
			replica.initialise(GROUP_NAME, members);
		}
	};

	const join = async (member: JoiningMember): Promise<void> => {
		const peers = listPeers().filter((peer) => peer !== address);
		const peer = peers[nextPeerIndex % Math.max(1, peers.length)];
		nextPeerIndex += 1;
		if (peer === undefined) {
			return;
		}

		const status = await fetchStatus(peer);
		const leader = status?.leader;
		if (leader !== undefined) {
			log.info('Requesting to join the group.', {
				leader,
				replica: member.replica,
			});
			await client.call(leader, '/join', member, CALL_TIMEOUT_MS);
		}
	};

	return {
		readStatus,
		async advance() {
			const {member, group} = readStatus();
			if (isBusy || member === undefined || !replica.needsJoin()) {
				return;
			}

			isBusy = true;
			try {
				await (group === undefined && founders?.includes(address)
					? bootstrap(founders)
					: join(member));
			} finally {
				isBusy = false;
			}
		},
	};
}
