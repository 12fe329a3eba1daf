import {
	createPeerClient,
	describeError,
	runContained,
} from '@lovagevalve/runtime';
import type {
	Coordinator,
	CoordinatorDependencies,
	CoordinatorSettings,
} from './coordinator-types.js';
import {createCrashQuarantine} from './crash-quarantine.js';
import {createDepartureFile, createDepartureStore} from './departure-store.js';
import {createDepartures} from './departures.js';
import {createGossiper} from './gossip.js';
import {createGroupJoiner} from './group-joiner.js';
import {leaveGroup} from './group-leave.js';
import {createInstanceCalls} from './instance-calls.js';
import {createInstanceServer} from './instance-server.js';
import {createLeaderClient} from './leader-client.js';
import {createQuarantineFile} from './quarantine-file.js';
import {createRaftTransport} from './raft-transport.js';
import {createOriginLog} from './origin-log.js';
import {createOriginRegistry} from './origin-registry.js';
import {createOriginStore} from './origin-store.js';
import {createVersionFile} from './version-file.js';
import {createVersionHistory} from './version-history.js';
import {createRegistrationHandler} from './registration.js';
import {createRegistrationAdmission} from './registration-admission.js';
import {createRegistry} from './registry.js';
import {createReplica} from './replica.js';
import {createReplicatedConfiguration} from './replicated-configuration.js';
import {createRollouts} from './rollouts.js';

/** Less than a tenth of the shortest election timeout. */
const TICK_INTERVAL_MS = 40;
const JOIN_INTERVAL_MS = 200;
/**
 * Less than half the usual registration interval; departures are sent
 * immediately.
 */
const GOSSIP_INTERVAL_MS = 500;
/** The interval at which entries report, as verdicts follow from their counts. */
const ROLLOUT_INTERVAL_MS = 200;
/** Less than the interval at which entries report. */
const ORIGIN_STORE_INTERVAL_MS = 100;
/**
 * Exclusive upper bound of the random number that identifies a start of this
 * instance.
 */
const EPOCH_LIMIT = 2 ** 32;
/** Registrations in which a backend server reaches a control instance that was away. */
const CATCH_UP_INTERVALS = 2.5;
const DEFAULT_TOLERATED = 1;

/** Creates a control instance and starts opening its data folder. */
export function createCoordinator(
	settings: CoordinatorSettings,
	dependencies: CoordinatorDependencies,
): Coordinator {
	const {clock, log, metrics, buffers, random} = dependencies;
	const {name, address, dataFolder, isFirstStart, readSeeds} = settings;
	const {tolerated = DEFAULT_TOLERATED} = settings;
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
		file: createVersionFile(dataFolder),
		isFirstStart,
		catchUpMs: settings.registrationIntervalMs * CATCH_UP_INTERVALS,
	});
	inBackground(versions.load);
	const origins = createOriginRegistry(clock);
	const originStore = createOriginStore({
		clock,
		log,
		file: createOriginLog(clock, dataFolder),
		origins,
	});
	inBackground(originStore.load);
	const registry = createRegistry(clock, log, {
		epoch: Math.floor(random() * EPOCH_LIMIT),
		versions,
		origins,
		random,
	});
	const isAdmitted = createRegistrationAdmission({
		clock,
		log,
		metrics,
		registry,
		versions,
	});
	const quarantine = createCrashQuarantine(
		{clock, log},
		createQuarantineFile(dataFolder),
	);
	const departureStore = createDepartureStore({
		clock,
		log,
		file: createDepartureFile(dataFolder),
		listDepartures: () =>
			registry.listBackends().filter(({state}) => state !== 'ready'),
	});
	let loggedVersion = 0;
	const replica = createReplica({
		clock,
		log,
		transport: createRaftTransport(client, address),
		folder: dataFolder,
		tolerated,
		random,
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
		founders: isFirstStart ? readSeeds() : undefined,
		listPeers,
	});
	const leader = createLeaderClient({log, client, replica, address});
	const configuration = createReplicatedConfiguration({
		log,
		metrics,
		replica,
		leader,
	});
	const gossiper = createGossiper({
		clock,
		client,
		registry,
		quarantine,
		listPeers,
	});
	const departures = createDepartures({
		log,
		store: departureStore,
		tolerated,
		find: registry.find,
		tellOthers: gossiper.sendRecord,
	});
	const register = createRegistrationHandler({
		isAdmitted,
		registry,
		versions,
		departures,
		gossiper,
	});
	const rollouts =
		settings.rollout === undefined
			? undefined
			: createRollouts({
					clock,
					log,
					metrics,
					replica,
					registry,
					leader,
					settings: settings.rollout,
				});
	const handleCall = createInstanceCalls({
		log,
		metrics,
		replica,
		registry,
		quarantine,
		keepDepartures: departures.keep,
		readStatus: groupJoiner.readStatus,
		readVersion: configuration.readVersion,
		readLocally: configuration.readLocally,
		listControls,
		rollouts,
	});
	const server = createInstanceServer({log, metrics, buffers, handleCall});

	inBackground(async () => {
		registry.restore(await departureStore.load());
		gossiper.sendPending();
	});
	const maintain = (): void => {
		registry.removeExpired();
		departures.removeExpired();
		inBackground(quarantine.maintain);
		inBackground(versions.maintain);
		gossiper.sendRound();
	};

	const timers = [
		setInterval(() => {
			replica.tick();
		}, TICK_INTERVAL_MS),
		setInterval(() => {
			inBackground(groupJoiner.advance);
		}, JOIN_INTERVAL_MS),
		setInterval(maintain, GOSSIP_INTERVAL_MS),
		setInterval(() => {
			inBackground(originStore.store);
		}, ORIGIN_STORE_INTERVAL_MS),
		...(rollouts === undefined
			? []
			: [
					setInterval(() => {
						inBackground(rollouts.tick);
					}, ROLLOUT_INTERVAL_MS),
				]),
	];
	metrics.registerGauge('configuration_version', configuration.readVersion);
	metrics.registerGauge('is_leader', () => (replica.isLeader() ? 1 : 0));
	metrics.registerGauge('backends', registry.count);
	metrics.registerGauge(
		'quarantined',
		() => quarantine.describe().convicted.length,
	);
	metrics.registerGauge('entries_serving', () => registry.listServing().length);

	return {
		server,
		putConfiguration: configuration.put,
		readConfiguration: configuration.read,
		register,
		find: registry.find,
		rollouts,
		listServing: registry.listServing,
		async stop() {
			await leaveGroup({clock, replica, leader});
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
