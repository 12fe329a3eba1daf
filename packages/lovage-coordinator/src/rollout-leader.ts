import {
	type AgedRecord,
	type BackendRecord,
	readSoftwareVersion,
} from '@lovagevalve/dispatch';
import {
	decideRollout,
	readShare,
	type RolloutOrder,
	type RolloutStage,
	type RolloutState,
	type ServiceRollout,
	type Verdict,
} from '@lovagevalve/rollout';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {Registry} from './registry.js';
import type {Replica} from './replica.js';
import type {RolloutCountsRegistry} from './rollout-counts.js';
import type {RolloutSettings} from './replicated-rollouts.js';

/** Dependencies of the leader's part of roll-outs. */
export type RolloutLeaderOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: Pick<PrometheusMetrics, 'count'>;
	replica: Pick<Replica, 'readState' | 'isLeader' | 'propose'>;
	registry: Pick<Registry, 'listBackends' | 'listSilent'>;
	counts: RolloutCountsRegistry;
	settings: RolloutSettings;
}>;

/** Decides about running orders where this instance leads. */
export type RolloutLeader = Readonly<{
	/** Called several times a second at each instance. */
	tick: () => Promise<void>;
	/** Whether this instance leads and an order is running. */
	isJudging: () => boolean;
	/** Version of the servers that a service has now; undefined if it has none. */
	findServedVersion: (service: string) => string | undefined;
}>;

/** An order at its last change, and when this instance learned of it. */
type NotedOrder = Readonly<{order: RolloutOrder; at: number}>;

/**
 * Time for which an instance has led before a share grows: every entry has reported
 * three times to all control instances.
 */
const STABLE_MS = 2000;
/**
 * Times of `contact-ms` after which a silent entry counts as ended. One that is only
 * cut off keeps its share, and an ended one must not hold up an order for good.
 */
const CONTACT_FACTOR = 2;
const STAGES: Readonly<Record<Verdict['kind'], RolloutStage>> = {
	hold: 'running',
	grow: 'running',
	revert: 'reverted',
	succeed: 'succeeded',
};

/**
 * Finds the version of most servers of a service; of several, that of the server that
 * started first.
 */
export function findMainVersion(
	records: ReadonlyArray<BackendRecord | AgedRecord>,
	service: string,
): string | undefined {
	const versions = new Map<string, {servers: number; bornAt: number}>();
	records
		.filter((record) => record.service === service && record.state === 'ready')
		.forEach((record) => {
			const version = readSoftwareVersion(record);
			const known = versions.get(version);
			versions.set(version, {
				servers: (known?.servers ?? 0) + 1,
				bornAt: Math.min(known?.bornAt ?? Infinity, record.bornAt),
			});
		});
	const [first] = [...versions].toSorted(
		([, a], [, b]) => b.servers - a.servers || a.bornAt - b.bornAt,
	);
	return first?.[0];
}

/** Creates the leader's part of roll-outs. */
export function createRolloutLeader({
	clock,
	log,
	metrics,
	replica,
	registry,
	counts,
	settings,
}: RolloutLeaderOptions): RolloutLeader {
	const noted = new Map<string, NotedOrder>();
	let leadsSince: number | undefined;
	let isBusy = false;
	/** Reason for the last decision on a service, so that each is logged once. */
	const reasons = new Map<string, string>();

	const noteOrders = (rollouts: RolloutState): void => {
		const running = new Map<string, string>();
		rollouts.forEach(({order}, service) => {
			if (order?.stage !== 'running') {
				noted.delete(service);
				reasons.delete(service);
				return;
			}

			running.set(service, order.to);
			if (noted.get(service)?.order !== order) {
				noted.set(service, {order, at: clock.now()});
			}
		});
		counts.keepOnly(running);
	};

	const countMissing = (): number =>
		registry.listSilent(settings.contactMs * CONTACT_FACTOR).length;

	const readSinceMs = (): number =>
		leadsSince === undefined ? 0 : clock.now() - leadsSince;

	const decide = async (
		service: string,
		{order, at}: NotedOrder,
		backends: readonly AgedRecord[],
	): Promise<void> => {
		const stepAgeMs = clock.now() - at;
		const ageMs = order.ageMs + stepAgeMs;
		const missing = countMissing();
		const summed = counts.describe(service, order.to, registry.listSilent());
		const input = {
			order,
			ageMs,
			stepAgeMs,
			...summed,
			freshServers: backends.filter(
				(record) =>
					record.service === service &&
					record.state === 'ready' &&
					readSoftwareVersion(record) === order.to,
			).length,
			isStable:
				readSinceMs() >= STABLE_MS &&
				missing === 0 &&
				counts.isKnownToAll(replica.readState().rolloutRevision),
			bounds: settings,
		};
		const {kind, reason} = decideRollout(input);
		const logged = `${kind} ${reason} ${order.step}`;
		const isNew = reasons.get(service) !== logged;
		reasons.set(service, logged);
		const step = order.step + (kind === 'grow' ? 1 : 0);
		const outcome =
			kind === 'hold'
				? undefined
				: await replica.propose({
						kind: 'rollout-change',
						service,
						to: order.to,
						ageMs,
						stage: STAGES[kind],
						step,
					});
		if (isNew || kind !== 'hold') {
			metrics.count('rollout_decisions', {kind});
			log.info('A roll-out was judged.', {
				service,
				to: order.to,
				decision: kind,
				reason,
				step,
				outcome: outcome ?? 'none',
				ageMs: Math.round(ageMs),
				total: summed.total,
				exposed: summed.exposed,
				perSecond: Math.round(summed.perSecond),
				oldRunning: summed.oldRunning,
				freshServers: input.freshServers,
				silentEntries: missing,
			});
		}
	};

	/** Records the first known version of each service that has none. */
	const recordFirst = async (
		rollouts: ReadonlyMap<string, ServiceRollout>,
		backends: readonly AgedRecord[],
	): Promise<void> => {
		const services = new Set(backends.map(({service}) => service));
		const unknown = [...services].filter(
			(service) => rollouts.get(service)?.current === undefined,
		);
		await Promise.all(
			unknown.map(async (service) => {
				const version = findMainVersion(backends, service);
				if (version === undefined) {
					return;
				}

				const outcome = await replica.propose({
					kind: 'rollout-first',
					service,
					version,
				});
				log.info('The first version of a service is known.', {
					service,
					version,
					outcome,
				});
			}),
		);
	};

	const lead = async (): Promise<void> => {
		const {rollouts} = replica.readState();
		const backends = registry.listBackends();
		if (readSinceMs() >= STABLE_MS) {
			await recordFirst(rollouts, backends);
		}

		await Promise.all(
			[...noted].map(async ([service, order]) =>
				decide(service, order, backends),
			),
		);
	};

	return {
		async tick() {
			noteOrders(replica.readState().rollouts);
			leadsSince = replica.isLeader() ? (leadsSince ?? clock.now()) : undefined;
			if (leadsSince === undefined || isBusy) {
				return;
			}

			isBusy = true;
			try {
				await lead();
			} finally {
				isBusy = false;
			}
		},
		isJudging: () => leadsSince !== undefined && noted.size > 0,
		findServedVersion: (service) =>
			findMainVersion(registry.listBackends(), service),
	};
}

/** Shares of the running orders, for the metrics. */
export function sumShares(rollouts: RolloutState): number {
	return [...rollouts.values()]
		.filter(({order}) => order?.stage === 'running')
		.reduce((sum, rollout) => sum + readShare(rollout), 0);
}
