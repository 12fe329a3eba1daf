import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	type BackendRecord,
	readSoftwareVersion,
	toAgedRecord,
} from '@lovagevalve/dispatch';
import {
	type BufferBudget,
	type Clock,
	createJsonServer,
	createPeerClient,
	describeError,
	type JsonResponse,
	type JsonRequest,
	type Logger,
	parseJson,
	type PrometheusMetrics,
	runContained,
} from '@lovagevalve/runtime';
import type {Result} from 'neverthrow';
import {createCrashQuarantine} from './crash-quarantine.js';
import {createDepartureFile, createDepartureStore} from './departure-store.js';
import {createDepartures} from './departures.js';
import {
	decodeDepartureOutcome,
	decodeGossipOutcome,
	decodeProposeOutcome,
	decodeReadOutcome,
	type Gossip,
	type ReadOutcome,
} from './decode-messages.js';
import {selectGossipPart} from './gossip-parts.js';
import {createGroupJoiner} from './group-joiner.js';
import {createInstanceCalls} from './instance-calls.js';
import {createQuarantineFile} from './quarantine-file.js';
import {createRaftTransport} from './raft-transport.js';
import {createOriginLog} from './origin-log.js';
import {createOriginRegistry} from './origin-registry.js';
import {createOriginStore} from './origin-store.js';
import {createVersionFile} from './version-file.js';
import {createVersionHistory} from './version-history.js';
import type {KnownEntry} from './entry-registry.js';
import {
	createRegistrationDoor,
	type RegisterOutcome,
} from './registration-door.js';
import {createRegistry} from './registry.js';
import type {ProposeOutcome} from './pending-requests.js';
import {createReplica} from './replica.js';
import type {StoredConfiguration} from './state-machine.js';

/** Settings of a control instance. */
export type CoordinatorSettings = Readonly<{
	name: string;
	/** Address for traffic between instances. */
	address: string;
	dataFolder: string;
	/**
	 * Whether this is the first start of the whole system, in which the seeds
	 * bootstrap the group.
	 */
	isFirstStart: boolean;
	/** Interval at which a backend server renews its registration, in milliseconds. */
	registrationIntervalMs: number;
	/** Number of control instances whose disks may be lost at once; 1 by default. */
	tolerated?: number;
	/**
	 * Returns the current addresses of control instances for traffic between
	 * instances.
	 */
	readSeeds: () => readonly string[];
}>;

/** Dependencies of a control instance. */
export type CoordinatorDependencies = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	/** Bytes that the process buffers over all its connections. */
	buffers: BufferBudget;
	random: () => number;
}>;

/** A running control instance. */
export type Coordinator = Readonly<{
	/** Server for traffic between instances; the owner calls `listen`. */
	server: Server;
	/**
	 * Resolves with true once this version or a higher one is committed, with
	 * false if that could not be confirmed.
	 */
	putConfiguration: (configuration: StoredConfiguration) => Promise<boolean>;
	readConfiguration: () => Promise<ReadOutcome>;
	/**
	 * Merges a registration if there is room; resolves with whether it may be
	 * acknowledged, for a departure once enough instances have stored it.
	 */
	register: (record: BackendRecord) => Promise<RegisterOutcome>;
	find: (id: string) => BackendRecord | undefined;
	/** Entries that callers may connect to. */
	listServing: () => readonly KnownEntry[];
	stop: () => Promise<void>;
}>;

/** Less than a tenth of the shortest election timeout. */
const TICK_INTERVAL_MS = 40;
const JOIN_INTERVAL_MS = 200;
/**
 * Less than half the usual registration interval; departures are sent
 * immediately.
 */
const GOSSIP_INTERVAL_MS = 500;
/** Less than the interval at which entries report. */
const ORIGIN_STORE_INTERVAL_MS = 100;
/**
 * Within so many rounds all records are sent, for instances that missed earlier
 * rounds; few enough of them in one.
 */
const FULL_GOSSIP_PERIOD = 6;
/**
 * Exclusive upper bound of the random number that identifies a start of this
 * instance.
 */
const EPOCH_LIMIT = 2 ** 32;
const GOSSIP_TIMEOUT_MS = 400;
/** Registrations in which a backend server reaches a control instance that was away. */
const CATCH_UP_INTERVALS = 2.5;
/** Less than the second after which a caller retries at another instance. */
const FORWARD_TIMEOUT_MS = 950;
/** Time for a successor to take over leadership before this replica stops. */
const LEADERSHIP_TRANSFER_MS = 300;
/** Time for a new leader to be elected and for a change of the members. */
const MAX_LEAVE_MS = 2000;
const LEAVE_POLL_MS = 60;
const DEFAULT_TOLERATED = 1;

/** Creates a control instance and starts opening its data folder. */
export function createCoordinator(
	settings: CoordinatorSettings,
	dependencies: CoordinatorDependencies,
): Coordinator {
	const {clock, log, metrics, buffers} = dependencies;
	const {name, address, readSeeds} = settings;
	const client = createPeerClient(buffers);
	const inBackground = (task: () => Promise<void>): void => {
		runContained(task, (error) => {
			metrics.count('failed_tasks');
			log.error('A task in the background failed.', {
				reason: describeError(error),
			});
		});
	};

	const versions = createVersionHistory({
		clock,
		log,
		file: createVersionFile(settings.dataFolder),
		isFirstStart: settings.isFirstStart,
		catchUpMs: settings.registrationIntervalMs * CATCH_UP_INTERVALS,
	});
	inBackground(versions.load);
	const origins = createOriginRegistry(clock);
	const originStore = createOriginStore({
		clock,
		log,
		file: createOriginLog(clock, settings.dataFolder),
		origins,
	});
	inBackground(originStore.load);
	const registry = createRegistry(clock, log, {
		epoch: Math.floor(dependencies.random() * EPOCH_LIMIT),
		versions,
		origins,
		random: dependencies.random,
	});
	const hasRoom = createRegistrationDoor({
		clock,
		log,
		metrics,
		registry,
		versions,
	});
	const quarantine = createCrashQuarantine(
		{clock, log},
		createQuarantineFile(settings.dataFolder),
	);
	const departureStore = createDepartureStore({
		clock,
		log,
		file: createDepartureFile(settings.dataFolder),
		listDepartures: () =>
			registry.listBackends().filter(({state}) => state !== 'ready'),
	});
	const restoreDepartures = async (): Promise<void> => {
		const records = await departureStore.load();
		registry.restore(records);
		void sendGossip({backends: registry.takePendingGossip()});
	};

	let loggedVersion = 0;

	const replica = createReplica({
		clock,
		log,
		transport: createRaftTransport(client, address),
		folder: settings.dataFolder,
		tolerated: settings.tolerated ?? DEFAULT_TOLERATED,
		random: dependencies.random,
		onApplied({configuration, appliedIndex}) {
			const version = configuration?.version ?? 0;
			if (version !== loggedVersion) {
				loggedVersion = version;
				log.info('A configuration is committed.', {version, appliedIndex});
			}
		},
	});

	const listControls = (): readonly string[] => {
		const members = replica.listMembers().map((member) => member.address);
		return members.length > 0 ? members : readSeeds();
	};

	const listPeers = (): readonly string[] =>
		[...new Set([...listControls(), ...readSeeds()])].filter(
			(peer) => peer !== address,
		);

	const groupJoiner = createGroupJoiner({
		log,
		client,
		replica,
		name,
		address,
		founders: settings.isFirstStart ? readSeeds() : undefined,
		listPeers,
	});

	const readVersion = (): number =>
		replica.readState().configuration?.version ?? 0;

	/**
	 * Calls the leader; resolves with undefined if there is none or it does not
	 * respond.
	 */
	const callLeader = async <T>(
		path: string,
		body: unknown,
		decode: (value: unknown) => Result<T, string>,
	): Promise<T | undefined> => {
		const leader = replica.findLeaderAddress();
		if (leader === undefined || leader === address) {
			return undefined;
		}

		const response = await client.call<unknown>(
			leader,
			path,
			body,
			FORWARD_TIMEOUT_MS,
		);
		return response.andThen(decode).match(
			(value) => value,
			(reason) => {
				log.warn('The leader did not respond.', {leader, path, reason});
				return undefined;
			},
		);
	};

	const proposeToLeader = async (
		configuration: StoredConfiguration,
	): Promise<ProposeOutcome> => {
		const outcome = await callLeader(
			'/propose',
			configuration,
			decodeProposeOutcome,
		);
		return outcome ?? 'unknown';
	};

	/** Leaves the group if it has more voters than it needs; the next one may be lost at once. */
	const leaveGroup = async (): Promise<void> => {
		const endAt = clock.now() + MAX_LEAVE_MS;
		const departure = {replica: replica.readRaft()?.replica};
		let isRemoved = false;
		while (!isRemoved && replica.isSpareVoter() && clock.now() < endAt) {
			/* eslint-disable no-await-in-loop -- polls until the removal is committed */
			const outcome = await callLeader(
				'/leave',
				departure,
				decodeDepartureOutcome,
			);
			isRemoved = outcome ?? false;
			await sleep(isRemoved ? 0 : LEAVE_POLL_MS);
			/* eslint-enable no-await-in-loop */
		}
	};

	const readLocally = async (): Promise<ReadOutcome> => {
		if (!(await replica.confirmRead())) {
			return {kind: 'unavailable'};
		}

		const {configuration} = replica.readState();
		return configuration === undefined
			? {kind: 'none'}
			: {kind: 'found', configuration};
	};

	const departures = createDepartures({
		log,
		store: departureStore,
		tolerated: settings.tolerated ?? DEFAULT_TOLERATED,
		find: registry.find,
		tellOthers: (record) =>
			sendGossip({backends: [toAgedRecord(record, clock.now())]}),
	});
	const handleCall = createInstanceCalls({
		log,
		metrics,
		replica,
		registry,
		quarantine,
		keepDepartures: departures.keep,
		readStatus: groupJoiner.readStatus,
		readVersion,
		readLocally,
		listControls,
	});
	const server = createJsonServer({
		handler: async ({path, text}: JsonRequest) =>
			parseJson(text === '' ? '{}' : text).match(
				async (body) => handleCall(path, body),
				async (reason): Promise<JsonResponse> => ({
					status: 400,
					body: {error: reason},
				}),
			),
		onError(error) {
			metrics.count('failed_calls', {listener: 'instances'});
			log.error('A call from another instance failed.', {
				reason: describeError(error),
			});
		},
		buffers,
		source: 'instances',
	});

	inBackground(restoreDepartures);
	let gossipRound = 0;
	const gossip = (): void => {
		registry.removeExpired();
		departures.removeExpired();
		inBackground(quarantine.maintain);
		inBackground(versions.maintain);
		gossipRound += 1;
		const pendingGossip = registry.takePendingGossip();
		const all = registry.listBackends();
		const part = selectGossipPart(all, {
			round: gossipRound,
			period: FULL_GOSSIP_PERIOD,
		});
		const isFirstPart = gossipRound % FULL_GOSSIP_PERIOD === 0;
		const backends =
			part.length === all.length ? part : [...pendingGossip, ...part];
		if (isFirstPart) {
			void sendGossip({
				backends,
				convictedMs: quarantine.listConvictions(),
			});
		} else if (backends.length > 0) {
			void sendGossip({backends});
		}
	};

	/** Each resolves with whether the departures of the message are stored there. */
	const sendGossip = (message: Gossip): ReadonlyArray<Promise<boolean>> =>
		listPeers().map(async (peer) => {
			// Failures are not logged: the next full round sends the same records.
			const answer = await client.call<unknown>(
				peer,
				'/gossip',
				message,
				GOSSIP_TIMEOUT_MS,
			);
			return answer.andThen(decodeGossipOutcome).unwrapOr(false);
		});

	const timers = [
		setInterval(() => {
			replica.tick();
		}, TICK_INTERVAL_MS),
		setInterval(() => {
			inBackground(groupJoiner.advance);
		}, JOIN_INTERVAL_MS),
		setInterval(gossip, GOSSIP_INTERVAL_MS),
		setInterval(() => {
			inBackground(originStore.store);
		}, ORIGIN_STORE_INTERVAL_MS),
	];
	metrics.registerGauge('configuration_version', readVersion);
	metrics.registerGauge('is_leader', () => (replica.isLeader() ? 1 : 0));
	metrics.registerGauge('backends', registry.count);
	metrics.registerGauge(
		'quarantined',
		() => quarantine.describe().convicted.length,
	);
	metrics.registerGauge('entries_serving', () => registry.listServing().length);

	return {
		server,
		async putConfiguration(configuration) {
			const {version} = configuration;
			if (version <= readVersion()) {
				return true;
			}

			const outcome = replica.isLeader()
				? await replica.propose(configuration)
				: await proposeToLeader(configuration);
			metrics.count('configurations', {outcome});
			log.info('A configuration was proposed.', {version, outcome});
			return outcome === 'committed';
		},
		async readConfiguration() {
			const outcome = replica.isLeader()
				? await readLocally()
				: await callLeader('/read', {}, decodeReadOutcome);
			return outcome ?? {kind: 'unavailable'};
		},
		async register(record) {
			if (!hasRoom(record)) {
				return 'no-room';
			}

			const version = readSoftwareVersion(record);
			const previous = registry.find(record.id);
			const isNewVersion =
				!versions.isKnown(record.service, version) ||
				(previous !== undefined && readSoftwareVersion(previous) !== version);
			registry.register(record);
			if (isNewVersion) {
				// All control instances must know a version before it begins streams.
				void sendGossip({backends: registry.takePendingGossip()});
			}

			const known = registry.find(record.id);
			const isOutdated = known?.bornAt !== record.bornAt;
			const isStored =
				record.state === 'ready' ||
				isOutdated ||
				(await departures.confirm(known));
			return isStored ? 'acknowledged' : 'not-stored';
		},
		find: registry.find,
		listServing: registry.listServing,
		async stop() {
			replica.transferLeadership();
			await sleep(LEADERSHIP_TRANSFER_MS);
			await leaveGroup();
			timers.forEach((timer) => {
				clearInterval(timer);
			});
			await originStore.store();
			await originStore.close();
			await replica.stop();
			client.close();
		},
	};
}
