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
	stepRaft,
} from '@lovagevalve/consensus';
import {createStore, type Store} from '@lovagevalve/core';
import type {Clock, Logger} from '@lovagevalve/runtime';
import type {DiskStore} from '@lovagevalve/storage';
import {createAppliedState} from './applied-state.js';
import type {RaftTransport} from './raft-transport.js';
import {
	createPendingRequests,
	type ProposeOutcome,
} from './pending-requests.js';
import {createEffectRunner} from './raft-effects.js';
import {openReplicaFolder} from './replica-folder.js';
import {createSenderAddresses} from './sender-addresses.js';
import type {GroupCommand, GroupState} from './state-machine.js';
import {createVoterRemoval} from './voter-removal.js';

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
	propose: (command: GroupCommand) => Promise<ProposeOutcome>;
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
const SEED_LIMIT = 2 ** 31;

/** Creates a replica and starts opening its data folder. */
export function createReplica(options: ReplicaOptions): Replica {
	const {clock, log, transport, folder} = options;
	const pending = createPendingRequests();
	const senders = createSenderAddresses();
	const removal = createVoterRemoval(log, options.tolerated);
	const applied = createAppliedState();
	let disk: DiskStore | undefined;
	let store: Store<RaftState, RaftEvent> | undefined;
	let isStopped = false;

	const dispatch = (input: RaftInput): void => {
		store?.update({...input, now: clock.now()});
	};

	const send = (message: RaftMessage): void => {
		const member = listMembers().find(({replica}) => replica === message.to);
		const address = member?.address ?? senders.find(message.to);
		if (address !== undefined) {
			transport.send(address, message);
		}
	};

	const runEffect = createEffectRunner({
		log,
		applied,
		pending,
		send,
		persist(effect) {
			disk?.write(effect);
		},
		onApplied: options.onApplied,
		onSnapshot(snapshot) {
			dispatch({kind: 'snapshot-taken', ...snapshot});
		},
	});

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

	const open = async (): Promise<void> => {
		if (isStopped) {
			return;
		}

		const opened = await openReplicaFolder(folder, log, {
			onSynced(sequence) {
				dispatch({kind: 'synced', sequence});
			},
			onFailure,
		});
		if (opened === undefined) {
			scheduleReopen();
			return;
		}

		const {recovered, isNew, cutBytes} = opened;
		disk = opened.store;
		applied.recover(recovered.snapshot);
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
		options.onApplied(applied.read());
		log.info('The data folder is open.', {
			folder,
			isNew,
			cutBytes,
			replica: recovered.replica,
			version: applied.readVersion(),
		});
	};

	void open();
	return {
		readState: applied.read,
		readRaft: () => store?.read(),
		listMembers,
		findLeaderAddress() {
			const leader = store === undefined ? undefined : findLeader(store.read());
			return listMembers().find(({replica}) => replica === leader)?.address;
		},
		isLeader: () => store?.read().role.kind === 'leader',
		async propose(command) {
			if (store === undefined) {
				return 'not-leader';
			}

			return pending.awaitProposal((proposal) => {
				const commands = [JSON.stringify(command)];
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
				senders.learn(message.from, address);
				dispatch({kind: 'received', message});
			});
			senders.dropOldest();
		},
		initialise(group, members) {
			dispatch({kind: 'initialised', group, members});
		},
		join(member) {
			removal.noteJoin(member.replica);
			dispatch({kind: 'join-requested', member});
		},
		leave: (replica) => removal.noteLeave(store?.read(), replica),
		isSpareVoter: () =>
			store !== undefined && removal.isSpareVoter(store.read()),
		needsJoin: () =>
			store !== undefined && needsJoin(store.read(), clock.now()),
		tick() {
			dispatch({kind: 'ticked'});
			const replica =
				store === undefined
					? undefined
					: removal.findNext(store.read(), clock.now());
			if (replica !== undefined) {
				dispatch({kind: 'removal-requested', replica});
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
