import {randomInt} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {createControl} from '@lovagevalve/control-role';
import {
	type ChildSpec,
	createClock,
	createLogger,
	createMetrics,
	type Logger,
	type Metrics,
	type ChildError,
	serveHttp,
	createTimerChild,
	startSupervisor,
} from '@lovagevalve/runtime';
import {
	addRpcRoutes,
	createControlRouter,
	createRpcPool,
} from '@lovagevalve/wire';
import {Hono} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import {openDataFolder} from './data-folder.js';
import {createGroupInitialiser} from './group-initialiser.js';
import {createHandlers, createStatus} from './handlers.js';
import {type ControlHost, createControlHost} from './host.js';
import {createGroupJoiner} from './group-joiner.js';
import {createOrderSender} from './order-sender.js';
import {createOutbox} from './outbox.js';
import {
	type ControlProgramSettings,
	createRaftSettings,
	createRoleSettings,
	removeTrailingSlash,
} from './settings.js';
import {transferLeadership} from './transfer-leadership.js';

const TICK_INTERVAL_MS = 25;
/** Time to finish the calls in progress when the program stops. */
const DRAIN_TIMEOUT_MS = 1000;
const JOIN_INTERVAL_MS = 1000;
const METRICS_INTERVAL_MS = 5000;
const MAX_SEED = 2 ** 31;
const RESTART_POLICY = {maxRestarts: 3, withinMs: 60_000};

/** A running control program. */
export type ControlProgram = Readonly<{
	/** Finishes pending requests, transfers leadership and stops. */
	drain: () => Promise<void>;
}>;

function reportMetrics(host: ControlHost, metrics: Metrics): void {
	const {
		raft,
		stateMachine: machine,
		leaderState: leadership,
		waiting,
		reads,
	} = host.getState();
	metrics.gauge('control.term', raft.hardState.term);
	metrics.gauge('control.leads', leadership === undefined ? 0 : 1);
	metrics.gauge('control.commit_index', raft.commitIndex);
	metrics.gauge('control.configuration_version', machine.version);
	metrics.gauge('control.claims', machine.claims.records.size);
	metrics.gauge('control.open_claims', machine.claims.open.size);
	metrics.gauge('control.waiting_requests', waiting.size + reads.size);
}

function createApp(
	cfg: ControlProgramSettings,
	host: ControlHost,
	router: ReturnType<typeof createControlRouter>,
): Hono {
	const app = new Hono();
	addRpcRoutes(app, router);
	app.get('/health', (ctx) => {
		const {role, group} = createStatus(cfg.name, host);
		return ctx.json({kind: 'ok', role, group});
	});
	return app;
}

/** Creates the components of a control instance and starts them. */
export async function startControlProgram(
	cfg: ControlProgramSettings,
	onFatalError: (error: ChildError) => void,
): Promise<Result<ControlProgram, ChildError>> {
	const listener = {
		onSynced(sequence: number) {
			host.dispatchEvent({kind: 'synced', sequence});
		},
		onFailure({message}: Error) {
			onFatalError({kind: 'disk', message});
		},
	};
	const dataFolderLog = createLogger('control.disk');
	const opened = await openDataFolder(cfg.dataFolder, listener, dataFolderLog);
	if (opened.isErr()) {
		return err(opened.error);
	}

	const {store: disk, recovered} = opened.value;

	const clock = createClock();
	const address = removeTrailingSlash(cfg.address);
	const metrics = createMetrics(cfg.metrics, {instance: cfg.name});
	const pool = createRpcPool();
	const outbox = createOutbox(address, pool);
	const orderSender = createOrderSender(clock);
	const log: Logger = createLogger('control.host');
	const host = createControlHost(
		createControl({
			recovered,
			raft: createRaftSettings(cfg),
			settings: createRoleSettings(cfg),
			seed: randomInt(MAX_SEED),
			now: clock.now(),
		}),
		{clock, log, outbox, disk, orders: orderSender},
	);
	const readStatus = () => createStatus(cfg.name, host);
	const groupInitialiser = createGroupInitialiser({
		address,
		host,
		pool,
		readStatus,
	});
	const handlers = createHandlers({
		name: cfg.name,
		host,
		groupInitialiser,
		log,
	});
	const app = createApp(cfg, host, createControlRouter(handlers));
	const joinGroup = createGroupJoiner({
		clock,
		host,
		pool,
		log: createLogger('control.join'),
		peers: cfg.controls
			.map(removeTrailingSlash)
			.filter((peer) => peer !== address),
		createRequest: () => ({
			replica: host.getState().raft.replica,
			name: cfg.name,
			address,
		}),
	});

	const childSpecs: readonly ChildSpec[] = [
		{
			name: 'disk',
			start: async () => ok({stop: async () => disk.close()}),
		},
		{
			name: 'connections',
			start: async () =>
				ok({
					async stop() {
						outbox.close();
						await orderSender.close();
						await pool.close();
						metrics.close();
					},
				}),
		},
		createTimerChild(
			'ticker',
			() => {
				host.dispatchEvent({kind: 'ticked'});
			},
			TICK_INTERVAL_MS,
		),
		createTimerChild(
			'join',
			() => {
				void joinGroup();
			},
			JOIN_INTERVAL_MS,
		),
		createTimerChild(
			'metrics',
			() => {
				reportMetrics(host, metrics);
			},
			METRICS_INTERVAL_MS,
		),
		{
			name: 'http',
			async start() {
				const server = await serveHttp(app, cfg.listen.host, cfg.listen.port);
				return server.map(({drain, close}) => ({
					async stop() {
						await Promise.race([drain(), wait(DRAIN_TIMEOUT_MS)]);
						await close();
					},
				}));
			},
		},
	];
	const supervisor = await startSupervisor(childSpecs, {
		name: 'control',
		log: createLogger('control.supervisor'),
		now: clock.now,
		policy: RESTART_POLICY,
		giveUp: onFatalError,
	});
	return ok({
		async drain() {
			await transferLeadership(host, clock);
			await supervisor.stop();
		},
	});
}
