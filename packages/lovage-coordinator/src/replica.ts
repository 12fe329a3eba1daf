import process from 'node:process';
import {
	createRaft,
	defaultSettings,
	findLeader,
	type JoiningMember,
	type Member,
	needsJoin,
	type RaftEffect,
	type RaftEvent,
	type RaftMessage,
	type RaftState,
	type ReplicaId,
	readMembers,
	readMembersAt,
	stepRaft,
} from '@lovagevalve/consensus';
import {createStore, type Store} from '@lovagevalve/core';
import type {Clock, Logger} from '@lovagevalve/runtime';
import {
	describeStoreError,
	openStore,
	archiveDamagedStore,
	type DiskStore,
	type OpenedStore,
} from '@lovagevalve/storage';
import {findFailedVoter, hasSpareVoter} from './membership.js';
import type {RaftTransport} from './raft-transport.js';
import {
	createPendingRequests,
	type ProposeOutcome,
} from './pending-requests.js';
import {
	applyEntry,
	decodeState,
	EMPTY_GROUP_STATE,
	encodeState,
	type GroupState,
	type StoredConfiguration,
} from './state-machine.js';

/** Dependencies and settings of a replica. */
export type ReplicaOptions = Readonly<{
	clock: Clock;
	log: Logger;
	transport: RaftTransport;
	folder: string;
	/** Number of instances whose disks may be lost at once. */
	tolerated: number;
	random: () => number;
	/** Called after entries were applied. */
	onApplied: (state: GroupState) => void;
}>;

/**
 * A replica of the log on this instance's disk that recovers from disk
 * failures.
 */
export type Replica = Readonly<{
	readState: () => GroupState;
	/** Undefined while the disk is unavailable. */
	readRaft: () => RaftState | undefined;
	listMembers: () => readonly Member[];
	/** Address of the leader, if known. */
	findLeaderAddress: () => string | undefined;
	isLeader: () => boolean;
	propose: (configuration: StoredConfiguration) => Promise<ProposeOutcome>;
	/**
	 * Resolves with true once the state is confirmed to be up to date, otherwise
	 * with false.
	 */
	confirmRead: () => Promise<boolean>;
	receive: (address: string, messages: readonly RaftMessage[]) => void;
	initialise: (group: string, members: readonly JoiningMember[]) => void;
	join: (member: JoiningMember) => void;
	/**
	 * Removes a voter that stops, if this replica leads and the group can spare it;
	 * whether its removal is committed.
	 */
	leave: (replica: ReplicaId) => boolean;
	/** Whether this replica is a voter that the group can spare. */
	isSpareVoter: () => boolean;
	needsJoin: () => boolean;
	tick: () => void;
	transferLeadership: () => void;
	stop: () => Promise<void>;
}>;

type RaftInput = RaftEvent extends infer Event
	? Event extends RaftEvent
		? Omit<Event, 'now'>
		: never
	: never;

/**
 * Log entries kept before a snapshot for replicas that lag slightly. Few, as a
 * configuration with hundreds of routes takes 100 KB.
 */
const TRAILING_ENTRIES = 4;
/**
 * Covers several round trips and disk syncs; kept short because entries that
 * start together with the group wait for its leader.
 */
const ELECTION_TIMEOUT_MS = 500;
const HEARTBEAT_INTERVAL_MS = 120;
/**
 * Interval between attempts to open the data folder, for example while the disk
 * is full.
 */
const REOPEN_INTERVAL_MS = 500;
/** Limit of remembered addresses of message senders. */
const MAX_LEARNED_ADDRESSES = 32;
const SEED_LIMIT = 2 ** 31;

// The platform ends the previous process of a folder before it starts the next
// one.
const SINGLE_PROCESS_CHECK = {
	nameSelf: async () => String(process.pid),
	isRunning: async () => false,
};

/** Creates a replica and starts opening its data folder. */
export function createReplica(options: ReplicaOptions): Replica {
	const {clock, log, transport, folder} = options;
	const pending = createPendingRequests();
	const learnedAddresses = new Map<string, string>();
	const leaving = new Set<ReplicaId>();
	let state: GroupState = EMPTY_GROUP_STATE;
	let snapshotVersion = 0;
	let disk: DiskStore | undefined;
	let store: Store<RaftState, RaftEvent> | undefined;
	let isStopped = false;

	const dispatch = (input: RaftInput): void => {
		store?.update({...input, now: clock.now()});
	};

	const send = (message: RaftMessage): void => {
		const member = listMembers().find(({replica}) => replica === message.to);
		const address = member?.address ?? learnedAddresses.get(message.to);
		if (address !== undefined) {
			transport.send(address, message);
		}
	};

	const takeSnapshot = (): void => {
		// The snapshot tells a restarted replica what is committed, so that it can
		// serve entries before a leader is elected.
		const version = state.configuration?.version ?? 0;
		if (version > snapshotVersion) {
			snapshotVersion = version;
			const index = state.appliedIndex;
			const data = encodeState(state);
			// Deferred because an effect must not change the state that produced it.
			queueMicrotask(() => {
				dispatch({kind: 'snapshot-taken', index, data});
			});
		}
	};

	const runEffect = (effect: RaftEffect): void => {
		switch (effect.kind) {
			case 'send': {
				send(effect.message);
				break;
			}

			case 'persist':
			case 'persist-snapshot': {
				disk?.write(effect);
				break;
			}

			case 'apply': {
				effect.entries.forEach((entry) => {
					state = applyEntry(state, entry);
					pending.settleApplied(entry.index, entry.term);
				});
				options.onApplied(state);
				takeSnapshot();
				break;
			}

			case 'install-snapshot': {
				state = decodeState(effect.snapshot);
				snapshotVersion = state.configuration?.version ?? 0;
				options.onApplied(state);
				break;
			}

			case 'proposal-accepted': {
				pending.accept(effect.proposal, effect.firstIndex, effect.term);
				break;
			}

			case 'proposal-refused': {
				pending.refuse(effect.proposal);
				break;
			}

			case 'read-confirmed':
			case 'read-refused': {
				pending.settleRead(effect.read, effect.kind === 'read-confirmed');
				break;
			}

			case 'became-leader': {
				log.info('This instance leads the group.', {term: effect.term});
				break;
			}

			case 'stepped-down': {
				log.info('This instance no longer leads the group.', {
					term: effect.term,
				});
				pending.abandonAll();
				break;
			}

			case 'initialise-answered': {
				log.info('Group bootstrap finished.', {outcome: effect.outcome});
				break;
			}

			case 'membership-answered': {
				log.info('A membership change was requested.', {
					replica: effect.replica,
					outcome: effect.outcome,
				});
				break;
			}
		}
	};

	const listMembers = (): readonly Member[] =>
		store === undefined ? [] : readMembers(store.read());

	const scheduleReopen = (): void => {
		setTimeout(() => {
			void open();
		}, REOPEN_INTERVAL_MS);
	};

	const onFailure = (cause: Error): void => {
		log.error('The disk failed; reopening the data folder.', {
			reason: cause.message,
		});
		store = undefined;
		disk = undefined;
		pending.abandonAll();
		scheduleReopen();
	};

	const openFolder = async (): Promise<OpenedStore | undefined> => {
		const storeOptions = {
			folder,
			processes: SINGLE_PROCESS_CHECK,
			listener: {
				onSynced(sequence: number) {
					dispatch({kind: 'synced', sequence});
				},
				onFailure,
			},
		};
		const opened = await openStore(storeOptions);
		if (opened.isOk()) {
			return opened.value;
		}

		const {error} = opened;
		log.error('Failed to open the data folder.', {
			folder,
			reason: describeStoreError(error),
		});
		if (error.kind === 'damaged') {
			// A damaged folder is treated as a lost disk: the replica restarts with a
			// new identity.
			await archiveDamagedStore(storeOptions);
		}

		return undefined;
	};

	const open = async (): Promise<void> => {
		if (isStopped) {
			return;
		}

		const opened = await openFolder();
		if (opened === undefined) {
			scheduleReopen();
			return;
		}

		const {recovered, isNew, cutBytes} = opened;
		disk = opened.store;
		const {snapshot} = recovered;
		// Entries after the snapshot are applied again; the highest version wins.
		state =
			snapshot === undefined
				? {...state, appliedIndex: 0}
				: keepNewerConfiguration(state, decodeState(snapshot));
		snapshotVersion = state.configuration?.version ?? 0;
		const initial = createRaft({
			recovered,
			settings: {
				...defaultSettings,
				electionTimeoutMs: ELECTION_TIMEOUT_MS,
				heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
				trailingEntries: TRAILING_ENTRIES,
			},
			seed: Math.floor(options.random() * SEED_LIMIT),
			now: clock.now(),
		});
		store = createStore<RaftState, RaftEvent, RaftEffect>(
			stepRaft,
			initial,
			runEffect,
		);
		options.onApplied(state);
		log.info('The data folder is open.', {
			folder,
			isNew,
			cutBytes,
			replica: recovered.replica,
			version: state.configuration?.version ?? 0,
		});
	};

	void open();
	return {
		readState: () => state,
		readRaft: () => store?.read(),
		listMembers,
		findLeaderAddress() {
			const leader = store === undefined ? undefined : findLeader(store.read());
			return listMembers().find(({replica}) => replica === leader)?.address;
		},
		isLeader: () => store?.read().role.kind === 'leader',
		async propose(configuration) {
			if (store === undefined) {
				return 'not-leader';
			}

			return pending.awaitProposal((proposal) => {
				const commands = [JSON.stringify(configuration)];
				dispatch({kind: 'proposed', proposal, commands});
			});
		},
		async confirmRead() {
			if (store === undefined) {
				return false;
			}

			return pending.awaitRead((read) => {
				dispatch({kind: 'read-requested', read});
			});
		},
		receive(address, messages) {
			messages.forEach((message) => {
				learnedAddresses.delete(message.from);
				learnedAddresses.set(message.from, address);
				dispatch({kind: 'received', message});
			});
			[...learnedAddresses.keys()]
				.slice(0, Math.max(0, learnedAddresses.size - MAX_LEARNED_ADDRESSES))
				.forEach((replica) => {
					learnedAddresses.delete(replica);
				});
		},
		initialise(group, members) {
			dispatch({kind: 'initialised', group, members});
		},
		join(member) {
			leaving.delete(member.replica);
			dispatch({kind: 'join-requested', member});
		},
		leave(replica) {
			const raft = store?.read();
			if (raft?.role.kind !== 'leader') {
				return false;
			}

			if (hasSpareVoter(listMembers(), options.tolerated)) {
				leaving.add(replica);
			}

			return readMembersAt(raft.log, raft.commitIndex).every(
				(member) => member.replica !== replica,
			);
		},
		isSpareVoter() {
			const own = store?.read().replica;
			return (
				hasSpareVoter(listMembers(), options.tolerated) &&
				listMembers().some(({replica, voter}) => voter && replica === own)
			);
		},
		needsJoin: () =>
			store !== undefined && needsJoin(store.read(), clock.now()),
		tick() {
			dispatch({kind: 'ticked'});
			const failedVoter =
				store === undefined
					? undefined
					: findFailedVoter(store.read(), {
							members: listMembers(),
							tolerated: options.tolerated,
							leaving,
							now: clock.now(),
						});
			if (failedVoter !== undefined) {
				log.info('Removing a voter that is silent or stops.', {
					replica: failedVoter,
					isLeaving: leaving.has(failedVoter),
				});
				dispatch({kind: 'removal-requested', replica: failedVoter});
			}
		},
		transferLeadership() {
			dispatch({kind: 'transfer-requested'});
		},
		async stop() {
			isStopped = true;
			store = undefined;
			await disk?.close();
		},
	};
}

function keepNewerConfiguration(
	current: GroupState,
	loaded: GroupState,
): GroupState {
	const isOlder =
		(loaded.configuration?.version ?? 0) <
		(current.configuration?.version ?? 0);
	return isOlder ? {...loaded, configuration: current.configuration} : loaded;
}
