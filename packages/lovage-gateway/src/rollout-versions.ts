import {
	type BackendRecord,
	type ControlReport,
	type PlacementRequest,
	readSoftwareVersion,
} from '@lovagevalve/dispatch';
import {
	classifyTime,
	drawVersion,
	isVersionAllowed,
	NO_COUNTS,
	type RolloutCounts,
	type RolloutReport,
	type RolloutState,
	type ShareCredits,
	toCompactCounts,
	type VersionCounts,
} from '@lovagevalve/rollout';
import type {Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {ChooseBackend} from './backend-choice.js';
import type {LoadReservation} from './load-reservations.js';

/** Dependencies of the versions of requests. */
export type RolloutVersionsOptions = Readonly<{
	log: Logger;
	metrics: Pick<PrometheusMetrics, 'count'>;
	/** Credit of a new version in [0, 1); it differs between entries. */
	initialCredit: number;
}>;

/** How a request ended at a backend server. */
export type RolloutOutcome =
	| Readonly<{kind: 'failed'}>
	/** Time to the response, or to the first event of a stream. */
	| Readonly<{kind: 'answered'; tookMs: number}>;

type Reserve = (
	backend: BackendRecord,
	request: PlacementRequest,
) => LoadReservation;

/** Software versions of requests, where roll-outs are in force. */
export type RolloutVersions = Readonly<{
	/** Applies the decisions in a report of a control instance, if they are newer. */
	applyReport: (
		control: string,
		report: Pick<ControlReport, 'rollouts' | 'judgesRollouts'>,
	) => void;
	/** Control instance that judges running orders; undefined if none said so. */
	readJudge: () => string | undefined;
	createReport: () => Readonly<{rollouts: RolloutReport}>;
	/**
	 * Versions that may get a request, the preferred one first; drawn once for each
	 * request. Undefined while nothing is decided about its service.
	 */
	listVersions: (
		request: WeakKey,
		service: string,
	) => readonly string[] | undefined;
	/** Whether a version of a service may get requests. */
	isAllowed: (service: string, version: string) => boolean;
	/** Limits a choice to the versions that may get the request. */
	limitChoice: (choose: ChooseBackend) => ChooseBackend;
	/** Counts what is sent and what runs. */
	countSent: (reserve: Reserve) => Reserve;
	recordOutcome: (
		backend: BackendRecord,
		route: string,
		outcome: RolloutOutcome,
	) => void;
	/** Number of services with a running order. */
	countRunning: () => number;
}>;

type RouteCounts = {fresh: VersionCounts; old: VersionCounts};

type OrderCounts = {
	readonly to: string;
	total: number;
	exposed: number;
	readonly routes: Map<string, RouteCounts>;
};

function addOutcome(
	{failed, byTime}: VersionCounts,
	outcome: RolloutOutcome,
): VersionCounts {
	if (outcome.kind === 'failed') {
		return {failed: failed + 1, byTime};
	}

	const timeClass = classifyTime(outcome.tookMs);
	const length = Math.max(byTime.length, timeClass + 1);
	return {
		failed,
		byTime: Array.from(
			{length},
			(_, i) => (byTime[i] ?? 0) + (i === timeClass ? 1 : 0),
		),
	};
}

/** Creates the versions of an entry that knows no decisions. */
export function createRolloutVersions({
	log,
	metrics,
	initialCredit,
}: RolloutVersionsOptions): RolloutVersions {
	let revision = 0;
	let judge: string | undefined;
	let decisions: RolloutState = new Map();
	let credits: ShareCredits = new Map();
	const drawn = new WeakMap<WeakKey, readonly string[]>();
	/** Requests that run, by service and version. */
	const running = new Map<string, Map<string, number>>();
	const counts = new Map<string, OrderCounts>();

	const findRunningOrder = (service: string): OrderCounts | undefined => {
		const order = decisions.get(service)?.order;
		return order?.stage === 'running' ? counts.get(service) : undefined;
	};

	const isAllowed = (service: string, version: string): boolean =>
		isVersionAllowed(decisions.get(service), version);

	const adjustRunning = (
		service: string,
		version: string,
		delta: number,
	): void => {
		const versions = running.get(service) ?? new Map<string, number>();
		const next = (versions.get(version) ?? 0) + delta;
		if (next > 0) {
			running.set(service, versions.set(version, next));
		} else {
			versions.delete(version);
		}
	};

	const countOld = (service: string, to: string): number =>
		[...(running.get(service) ?? [])]
			.filter(([version]) => version !== to)
			.reduce((sum, [, count]) => sum + count, 0);

	const toReport = (
		service: string,
		{to, total, exposed, routes}: OrderCounts,
	): RolloutCounts => ({
		to,
		total,
		exposed,
		oldRunning: countOld(service, to),
		routes: Object.fromEntries(
			[...routes].map(([route, {fresh, old}]) => [
				route,
				[toCompactCounts(fresh), toCompactCounts(old)] as const,
			]),
		),
	});

	/** Begins the counts of orders that have begun, and drops those of others. */
	const renewCounts = (): void => {
		[...counts.keys()].forEach((service) => {
			const order = decisions.get(service)?.order;
			if (order?.stage !== 'running') {
				counts.delete(service);
			}
		});
		decisions.forEach(({order}, service) => {
			if (order?.stage === 'running' && counts.get(service)?.to !== order.to) {
				counts.set(service, {
					to: order.to,
					total: 0,
					exposed: 0,
					routes: new Map(),
				});
			}
		});
	};

	return {
		readJudge: () => judge,
		applyReport(control, {rollouts, judgesRollouts = false}) {
			if (judgesRollouts || judge === control) {
				judge = judgesRollouts ? control : undefined;
			}

			if (rollouts === undefined || rollouts.revision <= revision) {
				return;
			}

			revision = rollouts.revision;
			decisions = new Map(rollouts.services);
			renewCounts();
			log.info('Decisions on roll-outs are in force.', {
				revision,
				services: decisions.size,
				running: counts.size,
			});
		},
		createReport: () => ({
			rollouts: {
				revision,
				counts: Object.fromEntries(
					[...counts].map(([service, order]) => [
						service,
						toReport(service, order),
					]),
				),
			},
		}),
		listVersions(request, service) {
			const rollout = decisions.get(service);
			if (rollout?.current === undefined && rollout?.order === undefined) {
				return undefined;
			}

			const known = drawn.get(request);
			if (known !== undefined) {
				return known.filter((version) => isVersionAllowed(rollout, version));
			}

			const draw = drawVersion(service, rollout, credits, initialCredit);
			credits = draw.credits;
			drawn.set(request, draw.versions);
			return draw.versions;
		},
		isAllowed,
		limitChoice: (choose) => (service, request, random) => {
			const {softwareVersion, versions} = request;
			if (softwareVersion !== undefined) {
				return isAllowed(service, softwareVersion)
					? choose(service, request, random)
					: undefined;
			}

			if (versions === undefined) {
				return choose(service, request, random);
			}

			for (const version of versions) {
				const limited = {...request, softwareVersion: version};
				const chosen = choose(service, limited, random);
				if (chosen !== undefined) {
					return chosen;
				}
			}

			return undefined;
		},
		countSent: (reserve) => (backend, request) => {
			const {service} = backend;
			const version = readSoftwareVersion(backend);
			const order = findRunningOrder(service);
			if (order !== undefined) {
				const isFresh = version === order.to;
				order.total += 1;
				order.exposed += isFresh ? 1 : 0;
				metrics.count('rollout_requests', {
					version: isFresh ? 'new' : 'other',
				});
			}

			adjustRunning(service, version, 1);
			const reservation = reserve(backend, request);
			let isReserved = true;
			return {
				...reservation,
				release() {
					reservation.release();
					if (isReserved) {
						isReserved = false;
						adjustRunning(service, version, -1);
					}
				},
			};
		},
		recordOutcome(backend, route, outcome) {
			const order = findRunningOrder(backend.service);
			if (order === undefined) {
				return;
			}

			const known = order.routes.get(route) ?? {
				fresh: NO_COUNTS,
				old: NO_COUNTS,
			};
			const key = readSoftwareVersion(backend) === order.to ? 'fresh' : 'old';
			order.routes.set(route, {
				...known,
				[key]: addOutcome(known[key], outcome),
			});
		},
		countRunning: () => counts.size,
	};
}
