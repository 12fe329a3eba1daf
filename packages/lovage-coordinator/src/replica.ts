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
	readMembers,
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
import {findLostVoter} from './membership.js';
import type {Peers} from './peers.js';
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

/** What a replica works with. */
export type ReplicaParts = Readonly<{
	clock: Clock;
	log: Logger;
	peers: Peers;
	folder: string;
	draw: () => number;
	/** Called after entries were applied. */
	onApplied: (state: GroupState) => void;
}>;

/** A replica of the log on this instance's disk; survives failures of the disk. */
export type Replica = Readonly<{
	readState: () => GroupState;
	/** Undefined while the disk can't be used. */
	readRaft: () => RaftState | undefined;
	listMembers: () => readonly Member[];
	/** Address of the leader, if known. */
	findLeaderAddress: () => string | undefined;
	isLeader: () => boolean;
	propose: (configuration: StoredConfiguration) => Promise<ProposeOutcome>;
	/** Resolves with true once the state is known to be the newest. */
	confirmRead: () => Promise<boolean>;
	receive: (address: string, messages: readonly RaftMessage[]) => void;
	initialise: (group: string, members: readonly JoiningMember[]) => void;
	join: (member: JoiningMember) => void;
	needsJoin: () => boolean;
	tick: () => void;
	transferLead: () => void;
	stop: () => Promise<void>;
}>;

type Input = RaftEvent extends infer Event
	? Event extends RaftEvent
		? Omit<Event, 'now'>
		: never
	: never;

/** Entries kept behind a snapshot for replicas that are a little behind; a configuration of hundreds of routes is 100 KB. */
const TRAILING_ENTRIES = 4;
/** Several round trips and syncs; entries that start with the group wait for its leader. */
const ELECTION_TIMEOUT_MS = 500;
const HEARTBEAT_INTERVAL_MS = 120;
/** A full disk is tried again this often. */
const REOPEN_INTERVAL_MS = 500;
const MAX_LEARNED = 32;
const MAX_SEED = 2 ** 31;

// One process a folder: the platform ends the former one first.
const SINGLE_PROCESS = {
	nameSelf: async () => String(process.pid),
	isRunning: async () => false,
};

/** Creates a replica and begins to open its folder. */
export function createReplica(parts: ReplicaParts): Replica {
	const {clock, log, peers, folder} = parts;
	const pending = createPendingRequests();
	const learned = new Map<string, string>();
	let state: GroupState = EMPTY_GROUP_STATE;
	let snapshotVersion = 0;
	let disk: DiskStore | undefined;
	let store: Store<RaftState, RaftEvent> | undefined;
	let isStopped = false;

	const feed = (input: Input): void => {
		store?.update({...input, now: clock.now()});
	};

	const send = (message: RaftMessage): void => {
		const member = listMembers().find(({replica}) => replica === message.to);
		const address = member?.address ?? learned.get(message.to);
		if (address !== undefined) {
			peers.send(address, message);
		}
	};

	const takeSnapshot = (): void => {
		// A replica that starts knows by its snapshot what is committed, and can
		// serve the entries before there is a leader.
		const version = state.configuration?.version ?? 0;
		if (version > snapshotVersion) {
			snapshotVersion = version;
			const index = state.appliedIndex;
			const data = encodeState(state);
			// After this step: an effect must not change the state it came from.
			queueMicrotask(() => {
				feed({kind: 'snapshot-taken', index, data});
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
				parts.onApplied(state);
				takeSnapshot();
				break;
			}

			case 'install-snapshot': {
				state = decodeState(effect.snapshot);
				snapshotVersion = state.configuration?.version ?? 0;
				parts.onApplied(state);
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
				log.info('This instance leads no longer.', {term: effect.term});
				pending.abandonAll();
				break;
			}

			case 'initialise-answered': {
				log.info('The group was founded.', {outcome: effect.outcome});
				break;
			}

			case 'membership-answered': {
				log.info('A change of the membership was asked for.', {
					replica: effect.replica,
					outcome: effect.outcome,
				});
				break;
			}
		}
	};

	const listMembers = (): readonly Member[] =>
		store === undefined ? [] : readMembers(store.read());

	const reopenLater = (): void => {
		setTimeout(() => {
			void open();
		}, REOPEN_INTERVAL_MS);
	};

	const onFailure = (cause: Error): void => {
		log.error('The disk failed; the folder is opened again.', {
			reason: cause.message,
		});
		store = undefined;
		disk = undefined;
		pending.abandonAll();
		reopenLater();
	};

	const openFolder = async (): Promise<OpenedStore | undefined> => {
		const options = {
			folder,
			processes: SINGLE_PROCESS,
			listener: {
				onSynced(sequence: number) {
					feed({kind: 'synced', sequence});
				},
				onFailure,
			},
		};
		const opened = await openStore(options);
		if (opened.isOk()) {
			return opened.value;
		}

		const {error} = opened;
		log.error('The data folder can not be opened.', {
			folder,
			reason: describeStoreError(error),
		});
		if (error.kind === 'damaged') {
			// A damaged folder is a lost disk: it comes back under a new identity.
			await archiveDamagedStore(options);
		}

		return undefined;
	};

	const open = async (): Promise<void> => {
		if (isStopped) {
			return;
		}

		const opened = await openFolder();
		if (opened === undefined) {
			reopenLater();
			return;
		}

		const {recovered, isNew, cutBytes} = opened;
		disk = opened.store;
		const {snapshot} = recovered;
		// Entries are applied again from the snapshot; the highest version wins.
		state =
			snapshot === undefined
				? {...state, appliedIndex: 0}
				: keepNewer(state, decodeState(snapshot));
		snapshotVersion = state.configuration?.version ?? 0;
		const initial = createRaft({
			recovered,
			settings: {
				...defaultSettings,
				electionTimeoutMs: ELECTION_TIMEOUT_MS,
				heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
				trailingEntries: TRAILING_ENTRIES,
			},
			seed: Math.floor(parts.draw() * MAX_SEED),
			now: clock.now(),
		});
		store = createStore<RaftState, RaftEvent, RaftEffect>(
			stepRaft,
			initial,
			runEffect,
		);
		parts.onApplied(state);
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
				feed({kind: 'proposed', proposal, commands});
			});
		},
		async confirmRead() {
			if (store === undefined) {
				return false;
			}

			return pending.awaitRead((read) => {
				feed({kind: 'read-requested', read});
			});
		},
		receive(address, messages) {
			messages.forEach((message) => {
				learned.delete(message.from);
				learned.set(message.from, address);
				feed({kind: 'received', message});
			});
			[...learned.keys()]
				.slice(0, Math.max(0, learned.size - MAX_LEARNED))
				.forEach((replica) => {
					learned.delete(replica);
				});
		},
		initialise(group, members) {
			feed({kind: 'initialised', group, members});
		},
		join(member) {
			feed({kind: 'join-requested', member});
		},
		needsJoin: () =>
			store !== undefined && needsJoin(store.read(), clock.now()),
		tick() {
			feed({kind: 'ticked'});
			const lost =
				store === undefined
					? undefined
					: findLostVoter(store.read(), listMembers(), clock.now());
			if (lost !== undefined) {
				feed({kind: 'removal-requested', replica: lost});
			}
		},
		transferLead() {
			feed({kind: 'transfer-requested'});
		},
		async stop() {
			isStopped = true;
			store = undefined;
			await disk?.close();
		},
	};
}

function keepNewer(known: GroupState, found: GroupState): GroupState {
	const isOlder =
		(found.configuration?.version ?? 0) < (known.configuration?.version ?? 0);
	return isOlder ? {...found, configuration: known.configuration} : found;
}
