import {
	type Crash,
	type EntryStatus,
	type SharedEntryReport,
	type RetryBudgetPolicy,
	toCompactLoads,
} from '@lovagevalve/dispatch';
import {
	type Configuration,
	createRouteTable,
	type RouteTable,
} from '@lovagevalve/routing';
import {
	type Clock,
	createPeerClient,
	type Logger,
	type PulledMetrics,
} from '@lovagevalve/runtime';
import type {Result} from 'neverthrow';
import {createBackendView} from './backend-view.js';
import type {GatewayContext} from './context.js';
import {createControlLink} from './control-link.js';
import {createGateway, type Gateway} from './gateway.js';
import type {HeaderCodec} from './protocol.js';
import {createRetryBudgets} from './retry-budgets.js';

/** Settings of an entry. */
export type EntrySettings = Readonly<{
	name: string;
	/** Address that callers connect to. */
	address: string;
	dataCentre: string;
	/** Addresses of control instances, for traffic between instances; may change. */
	readSeeds: () => readonly string[];
	registrationIntervalMs: number;
	retryBudget: RetryBudgetPolicy;
	/** Time from the order to stop until the process is ended, in milliseconds. */
	gracePeriodMs: number;
	/** Longest time that callers use an address which is no longer named, in milliseconds. */
	addressLifetimeMs: number;
}>;

/** What an entry works with. */
export type EntryParts = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PulledMetrics;
	codec: HeaderCodec;
	draw: () => number;
	/** Reads the text of a committed configuration. */
	decodeConfiguration: (text: string) => Result<Configuration, string>;
}>;

/** An entry that runs. */
export type Entry = Readonly<{
	/** Server for callers; it doesn't listen yet. */
	gateway: Gateway;
	isReady: () => boolean;
	/** Addresses that callers may connect to; none until they are known. */
	listServing: () => readonly string[];
	/** Stops being named, serves what comes, and resolves when the process may end. */
	drain: () => Promise<void>;
}>;

/** Several reports fit into the time in which a change must be in force. */
const REPORT_INTERVAL_MS = 200;
/** Time before the end of the grace period in which the process ends by itself. */
const STOP_MARGIN_MS = 300;
/** Crashes that are told in one report. */
const MAX_CRASHES = 200;
/** A crash is told for so long, that every control instance in touch hears of it. */
const CRASH_TOLD_MS = 3000;
/** What a control instance told counts for so long: several intervals, or one loss of it. */
const TOLD_RETENTION_MS = 3000;

async function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/** Creates an entry. */
export function createEntry(settings: EntrySettings, parts: EntryParts): Entry {
	const {clock, log, metrics} = parts;
	let table: RouteTable | undefined;
	let isLeaving = false;
	let serving: readonly string[] = [];
	/** Numbers of entries by the control instance that told them. */
	const entries = new Map<string, Readonly<{count: number; at: number}>>();
	/** When each convicted request was told last. */
	const convictedAt = new Map<string, number>();
	let crashes: ReadonlyArray<Readonly<{crash: Crash; at: number}>> = [];

	const view = createBackendView({
		clock,
		log,
		registrationIntervalMs: settings.registrationIntervalMs,
	});

	const readStanding = (): EntryStatus => {
		if (isLeaving) {
			return 'leaving';
		}

		return table === undefined ? 'starting' : 'ready';
	};

	/** A control instance that has just started knows few entries. */
	const countEntries = (): number =>
		Math.max(
			1,
			...[...entries.values()]
				.filter(({at}) => clock.now() - at < TOLD_RETENTION_MS)
				.map(({count}) => count),
		);

	const noteConvicted = (digests: readonly string[]): void => {
		const now = clock.now();
		[...convictedAt]
			.filter(([, at]) => now - at > TOLD_RETENTION_MS)
			.forEach(([digest]) => {
				convictedAt.delete(digest);
			});
		digests.forEach((digest) => {
			if (!convictedAt.has(digest)) {
				log.warn('A request is convicted: it crashes backend servers.', {
					digest,
				});
			}

			convictedAt.set(digest, now);
		});
	};

	const budgets = createRetryBudgets(settings.retryBudget, clock, countEntries);
	const ctx: GatewayContext = {
		clock,
		log,
		metrics,
		codec: parts.codec,
		view,
		budgets,
		draw: parts.draw,
		dataCentre: settings.dataCentre,
		readTable: () => table,
		isConvicted: (digest) => convictedAt.has(digest),
		reportCrash(digest, {id, bornAt}) {
			const crash: Crash = {digest, backend: `${id}/${bornAt}`};
			log.warn('A backend server died while it held a request.', crash);
			crashes = [...crashes, {crash, at: clock.now()}].slice(-MAX_CRASHES);
		},
	};
	const gateway = createGateway(ctx);

	const applyConfiguration = (text: string): void => {
		parts.decodeConfiguration(text).match(
			(configuration) => {
				const {version, routes} = configuration;
				const before = table?.configuration.version ?? 0;
				if (version <= before) {
					return;
				}

				table = createRouteTable(configuration);
				gateway.applyLimits();
				log.info('A configuration is in force.', {
					version,
					before,
					routes: routes.length,
				});
			},
			(reason) => {
				log.error('A configuration can not be read.', {reason});
			},
		);
	};

	const listCrashes = (): readonly Crash[] => {
		crashes = crashes.filter(({at}) => clock.now() - at < CRASH_TOLD_MS);
		return crashes.map(({crash}) => crash);
	};

	const createReport = (): SharedEntryReport => ({
		entry: settings.name,
		address: settings.address,
		dataCentre: settings.dataCentre,
		standing: readStanding(),
		version: table?.configuration.version ?? 0,
		loads: toCompactLoads(view.readOwnLoads()),
		retries: budgets.readCounts(),
		crashes: listCrashes(),
	});

	const link = createControlLink({
		clock,
		log,
		client: createPeerClient(),
		readSeeds: settings.readSeeds,
		createReport,
		onReport(control, report) {
			entries.set(control, {count: report.entries, at: clock.now()});
			serving = report.overview?.serving ?? serving;
			if (report.overview !== undefined) {
				budgets.noteOthers(report.overview.retries);
			}

			noteConvicted(report.convicted);
			view.applyReport(report);
		},
		onConfiguration: applyConfiguration,
	});
	const timer = setInterval(() => {
		link.report();
	}, REPORT_INTERVAL_MS);
	link.report();
	metrics.watch(
		'configuration_version',
		() => table?.configuration.version ?? 0,
	);
	metrics.watch('requests_under_way', () => gateway.countRequests());
	metrics.watch('backends_ready', () => view.count());
	metrics.watch('controls_reachable', () => link.countReachable());

	return {
		gateway,
		isReady: () => readStanding() === 'ready',
		listServing() {
			const others = serving.filter((other) => other !== settings.address);
			return readStanding() === 'ready'
				? [settings.address, ...others]
				: others;
		},
		async drain() {
			const end = clock.now() + settings.gracePeriodMs - STOP_MARGIN_MS;
			isLeaving = true;
			log.info('Leaves: is named to callers no longer.', {
				requests: gateway.countRequests(),
			});
			void link.announce();
			gateway.leave();
			// Callers keep an address for a while; they are served until then.
			await sleep(settings.addressLifetimeMs);
			gateway.server.close();
			// An idle moment before doesn't count: requests may have come since.
			await gateway.drain(end - clock.now());
			clearInterval(timer);
			log.info('Drained.', {
				requests: gateway.countRequests(),
				leftMs: Math.round(end - clock.now()),
			});
		},
	};
}
