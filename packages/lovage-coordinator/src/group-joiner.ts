import type {JoiningMember} from '@lovagevalve/consensus';
import type {Logger, PeerClient} from '@lovagevalve/runtime';
import type {Replica} from './replica.js';

/** What an instance tells of its replica. */
export type ReplicaStatus = Readonly<{
	/** Absent while the disk can't be used. */
	member?: JoiningMember;
	group?: string;
	/** Address of the leader, if known. */
	leader?: string;
}>;

/** What finding a group works with. */
export type GroupJoinerOptions = Readonly<{
	log: Logger;
	client: PeerClient;
	replica: Replica;
	name: string;
	/** This instance's address for traffic between instances. */
	address: string;
	/** Addresses of the founders, if this is the first start of the whole system. */
	founders: readonly string[] | undefined;
	/** Addresses of instances that may belong to a group. */
	listPeers: () => readonly string[];
}>;

/** Brings this instance's replica into a group. */
export type GroupJoiner = Readonly<{
	readStatus: () => ReplicaStatus;
	/** One step towards a group; called several times a second. */
	advance: () => Promise<void>;
}>;

const GROUP_NAME = 'lovagevalve';
const CALL_TIMEOUT_MS = 500;

/** Creates the entrance. Only founders found a group, once, when each of them is there. */
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
		const response = await client.call<ReplicaStatus>(
			peer,
			'/status',
			{},
			CALL_TIMEOUT_MS,
		);
		return response.unwrapOr(undefined);
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
			log.info('Every founder is there.', {founders: addresses.join(' ')});
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
			log.info('Asks to join the group.', {leader, replica: member.replica});
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
			await (group === undefined && founders?.includes(address)
				? bootstrap(founders)
				: join(member));
			isBusy = false;
		},
	};
}
