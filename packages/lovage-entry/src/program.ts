import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createClock,
	createLogger,
	createMetrics,
	EXIT_CODES,
	serveHttp,
	createTimerChild,
	startSupervisor,
	type ChildSpec,
	type ChildError,
	type Supervisor,
} from '@lovagevalve/runtime';
import {
	addRpcRoutes,
	createEntryPeerRouter,
	createRpcPool,
} from '@lovagevalve/wire';
import {Hono} from 'hono';
import {ok} from 'neverthrow';
import {createBackendApp} from './backend-app.js';
import {createCallerApp} from './caller-app.js';
import {createClaimClient} from './claim-client.js';
import {createControlGroupClient} from './control-group-client.js';
import {createDeathReporter} from './death-reporter.js';
import {createEntryHost, type EntryHost, type HostLinks} from './host.js';
import {startLeaseRenewal, type LeaseRenewal} from './lease-renewal.js';
import {createOperatorApp} from './operator-app.js';
import {createPeerHandlers} from './peer-handlers.js';
import {createPeers} from './peers.js';
import {createServiceLevelCounter} from './service-level.js';
import {createEntryOptions, type EntrySettings} from './settings.js';

const TICK_MS = 25;
const HEARTBEAT_MS = 1000;
/** Time for slow callers to receive the end of answers that are complete here. */
const DELIVERY_TIMEOUT_MS = 10_000;
const RESTART_POLICY = {maxRestarts: 3, withinMs: 60_000};

/** A running entry program. */
export type EntryProgram = Readonly<{
	/** Completes the open requests, then stops. */
	drain: () => Promise<void>;
	/**
	 * Resolves with the exit code after a drain, whether started by a signal or
	 * by an operator.
	 */
	stopped: Promise<number>;
}>;

/** Creates the components of an entry and starts them under a supervisor. */
export async function startEntryProgram(
	cfg: EntrySettings,
	giveUp: (error: ChildError) => void,
): Promise<EntryProgram> {
	const clock = createClock();
	const entry = createEntryOptions(cfg, randomUUID());
	const metrics = createMetrics(cfg.metrics, {entry: cfg.id});
	const serviceLevel = createServiceLevelCounter(clock, metrics);
	const pool = createRpcPool();
	const controlGroup = createControlGroupClient(cfg.controls, pool);
	let resolveDrained: () => void;
	const drained = new Promise<void>((resolve) => {
		resolveDrained = resolve;
	});
	let renewal: LeaseRenewal | undefined;

	const createLinks = ({
		readState,
	}: Pick<EntryHost, 'readState'>): HostLinks => ({
		claims: createClaimClient(controlGroup, clock),
		deaths: createDeathReporter(
			cfg.id,
			controlGroup,
			(reported, quarantine) => {
				host.acknowledgeDeaths(reported, quarantine);
			},
		),
		peers: createPeers(pool, () =>
			readState()
				.lease.entries.filter(({id}) => id !== cfg.id)
				.map(({address}) => address),
		),
		renewNow() {
			renewal?.renewNow();
		},
		record: serviceLevel.record,
		onDrained() {
			resolveDrained();
		},
	});

	const host = createEntryHost({
		entry,
		cursorSecret: cfg.cursorSecret,
		clock,
		log: createLogger('entry.host'),
		createLinks,
	});
	host.registerListener((state, previous) => {
		const {configuration} = state.lease;
		if (configuration && configuration !== previous.lease.configuration) {
			serviceLevel.applyRules(configuration.rules);
		}
	});
	const drain = (): void => {
		host.update({kind: 'drain-requested', now: clock.now()});
	};

	const app = new Hono();
	addRpcRoutes(app, createEntryPeerRouter(createPeerHandlers(host, clock)));
	app.route(
		'/',
		createOperatorApp(host, {
			drain,
			readReport: serviceLevel.takeSnapshot,
		}),
	);
	app.route('/', createBackendApp(host));
	app.route('/', createCallerApp(host, cfg));

	const specs: readonly ChildSpec[] = [
		createTimerChild('ticker', host.tick, TICK_MS),
		createTimerChild('heartbeat', host.heartbeat, HEARTBEAT_MS),
		{
			name: 'http',
			async start() {
				const {host: address, port} = cfg.listen;
				const server = await serveHttp(app, address, port);
				return server.map(({drain, close}) => ({
					async stop() {
						await Promise.race([drain(), sleep(DELIVERY_TIMEOUT_MS)]);
						await close();
					},
				}));
			},
		},
		{
			name: 'lease',
			async start() {
				renewal = startLeaseRenewal({
					controlGroup,
					clock,
					log: createLogger('entry.lease'),
					readState: host.readState,
					update: host.update,
					updateQuarantine: host.updateQuarantine,
				});
				const {stop} = renewal;
				return ok({
					async stop() {
						stop();
					},
				});
			},
		},
	];
	const supervisor: Supervisor = await startSupervisor(specs, {
		name: 'entry',
		log: createLogger('entry.supervisor'),
		now: clock.now,
		policy: RESTART_POLICY,
		giveUp,
	});
	const stopped = (async () => {
		await drained;
		await supervisor.stop();
		await pool.close();
		metrics.close();
		return EXIT_CODES.ok;
	})();
	return {
		async drain() {
			drain();
			await stopped;
		},
		stopped,
	};
}
