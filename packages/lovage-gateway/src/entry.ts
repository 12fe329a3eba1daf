import {
	type EntryStatus,
	type ServingEntry,
	type SharedEntryReport,
	toCompactLoads,
} from '@lovagevalve/dispatch';
import type {Configuration} from '@lovagevalve/routing';
import {
	type BufferBudget,
	type Clock,
	createPeerClient,
	type Logger,
	type PrometheusMetrics,
} from '@lovagevalve/runtime';
import type {Result} from 'neverthrow';
import {createAdmission, describeWaiting} from './admission.js';
import {createAddressResolver} from './backend-address.js';
import {checkReach} from './backend-probe.js';
import {createBackendReach} from './backend-reach.js';
import {createBackendView} from './backend-view.js';
import {createConfigurationInForce} from './configuration-in-force.js';
import type {GatewayContext} from './context.js';
import {createBrittleBackends} from './brittle-backends.js';
import {createAnswerTimes} from './answer-times.js';
import {drainGateway} from './drain.js';
import {createDrainGate} from './drain-gate.js';
import {createControlClient} from './control-client.js';
import {createCrashWatch} from './crash-watch.js';
import {createGateway, type Gateway} from './gateway.js';
import {createIncarnationQuestions} from './incarnation-questions.js';
import {createNamedLimits} from './named-limits.js';
import {createTaskGuard} from './guard.js';
import type {HeaderCodec} from './protocol.js';
import {registerEntryGauges} from './entry-gauges.js';
import {createEntryPeers} from './entry-peers.js';
import type {EntrySettings} from './entry-settings.js';
import {startPeerOrigins} from './peer-origins.js';
import {createReportHandler} from './report-handler.js';
import {createRetryBudgets} from './retry-budgets.js';
import {createRolloutVersions} from './rollout-versions.js';
import {createSharedProbes} from './shared-probes.js';
import {createStreamOrigins} from './stream-origins.js';

/** Dependencies of an entry. */
export type EntryDependencies = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	/** Bytes that the process buffers over all its connections. */
	buffers: BufferBudget;
	codec: HeaderCodec;
	random: () => number;
	/** Decodes the text of a committed configuration. */
	decodeConfiguration: (text: string) => Result<Configuration, string>;
}>;

/** A running entry. */
export type Entry = Readonly<{
	/** Server for callers; the owner calls `listen`. */
	gateway: Gateway;
	isReady: () => boolean;
	/** Entries that callers may connect to; empty until they are known. */
	listServing: () => readonly ServingEntry[];
	/**
	 * Stops advertising this entry, serves the remaining requests and resolves
	 * when the process may exit.
	 */
	drain: () => Promise<void>;
}>;

/**
 * Several reports fit into the time within which a configuration change must
 * become active.
 */
const REPORT_INTERVAL_MS = 200;

/** Creates an entry and starts reporting to the control instances. */
export function createEntry(
	settings: EntrySettings,
	dependencies: EntryDependencies,
): Entry {
	const {clock, log, metrics, buffers} = dependencies;
	const tasks = createTaskGuard(dependencies);
	let isLeaving = false;
	const {address, dataCentre, capacity} = settings;
	const known = capacity === undefined ? {} : {capacity};
	const self = {address, dataCentre, ...known};
	const peers = createEntryPeers(clock, settings.address);
	const crashes = createCrashWatch({clock, log, metrics});
	const origins = createStreamOrigins(clock);
	const configuration = createConfigurationInForce({
		...dependencies,
		onChange() {
			gateway.applyLimits();
		},
	});

	const limits = createNamedLimits({
		clock,
		log,
		metrics,
		initialCredit: dependencies.random(),
		readDemand: (service) => retryBudgets.readDemand(service),
	});
	const brittle = createBrittleBackends({
		clock,
		log,
		metrics,
		random: dependencies.random,
		countEntries: peers.count,
	});
	const rollouts =
		settings.rollout === undefined
			? undefined
			: createRolloutVersions({
					log,
					metrics,
					initialCredit: dependencies.random(),
				});
	const view = createBackendView({
		clock,
		log,
		metrics,
		registrationIntervalMs: settings.registrationIntervalMs,
		limits,
		brittle,
		...(rollouts === undefined ? {} : {rollouts}),
		usesSpeeds: settings.learnedSpeeds ?? false,
		readRank: peers.readRank,
		onUnreachable(service) {
			reach.suspect(service);
		},
	});
	const resolveAddress = createAddressResolver(settings.backendHost);
	const asking = {...dependencies, view, resolveAddress};
	const incarnations = createIncarnationQuestions(asking);
	const reach = createBackendReach({
		clock,
		log,
		metrics,
		random: dependencies.random,
		listInService: view.listInService,
		connect: async (backend) => checkReach(resolveAddress(backend)),
	});

	const readStatus = (): EntryStatus => {
		if (isLeaving) {
			return 'leaving';
		}

		return configuration.readRouteTable() === undefined ? 'starting' : 'ready';
	};

	const retryBudgets = createRetryBudgets(
		settings.retryBudget,
		clock,
		peers.count,
		dependencies.random,
	);
	const answerTimes = createAnswerTimes(clock.now);
	const drainGate = createDrainGate({
		clock,
		log,
		metrics,
		answerTimes,
		hasOthers: () => peers.listOthers().length > 0,
	});
	const admission = settings.admission
		? createAdmission({
				clock,
				log,
				metrics,
				random: dependencies.random,
				dataCentre: settings.dataCentre,
				view,
				readRank: peers.readRank,
				readTokensPerMs: view.readTokensPerMs,
			})
		: undefined;
	const ctx: GatewayContext = {
		clock,
		log,
		metrics,
		buffers,
		codec: dependencies.codec,
		view,
		...(rollouts === undefined ? {} : {rollouts}),
		retryBudgets,
		answerTimes,
		drainGate,
		random: dependencies.random,
		dataCentre: settings.dataCentre,
		readRouteTable: configuration.readRouteTable,
		crashes,
		reach,
		listRelays: peers.listRelays,
		origins,
		resolveAddress,
		incarnations,
		probe: createSharedProbes(),
		lookUpOrigin: async (query) => controlClient.lookUpOrigin(query),
		admission,
	};
	const gateway = createGateway(ctx);

	const createReport = (): SharedEntryReport => ({
		entry: settings.name,
		...self,
		standing: readStatus(),
		version: configuration.readVersion(),
		loads: toCompactLoads(view.readOwnLoads()),
		retries: retryBudgets.readCounts(),
		...crashes.createReport(),
		leaving: view.listLeaving(),
		limits: limits.createReport(),
		brittle: brittle.createReport(),
		floods: view.createFloodReport(),
		...describeWaiting(admission),
		...rollouts?.createReport(),
		...(reach.isIsolated() ? {isCutOff: true} : {}),
	});

	const controlClient = createControlClient({
		clock,
		log,
		client: createPeerClient(buffers),
		readSeeds: settings.readSeeds,
		createReport,
		createOriginsUpdate: origins.createReport,
		createAgesRequest: view.createAgesRequest,
		createSpeedsUpdate: view.speeds.createReport,
		readJudge: () => rollouts?.readJudge(),
		onReport: createReportHandler({
			tasks,
			peers,
			retryBudgets,
			crashes,
			rollouts,
			view,
			admission,
		}),
		onConfiguration: configuration.apply,
		guard: tasks,
	});
	const report = tasks.wrap(controlClient.report);
	const timer = setInterval(report, REPORT_INTERVAL_MS);
	report();
	const telling = {
		...dependencies,
		origins,
		controlClient,
		peers,
		guard: tasks,
	};
	const peerOrigins = startPeerOrigins(telling, createPeerClient(buffers));
	registerEntryGauges(metrics, {
		readVersion: configuration.readVersion,
		countRequests: gateway.countRequests,
		view,
		limits,
		brittle,
		rollouts,
		reach,
		countReachableControls: controlClient.countReachable,
	});

	return {
		gateway,
		isReady: () => readStatus() === 'ready',
		listServing() {
			// Control instances know whether others reach what this entry doesn't.
			const serving = peers.listServing();
			if (reach.isIsolated() && serving.length > 0) {
				return serving;
			}

			const others = serving.filter((other) => other.address !== address);
			return readStatus() === 'ready' ? [self, ...others] : others;
		},
		async drain() {
			isLeaving = true;
			void controlClient.reportToAll();
			if (peers.listOthers().length > 0) {
				admission?.drain();
			}

			await drainGateway({
				...settings,
				gateway,
				gate: drainGate,
				clock,
				log,
			});
			clearInterval(timer);
			peerOrigins.stop();
			reach.stop();
		},
	};
}
