import {
	applyReachRound,
	type BackendRecord,
	CONNECTED,
	type Reach,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import {createTaskGuard} from './guard.js';

/** Whether this entry reaches the backend servers, service by service. */
export type BackendReach = Readonly<{
	/** Checks a service, one of whose backend servers accepted no connection. */
	suspect: (service: string) => void;
	/** Whether no backend server of a service accepts a connection from here. */
	isCutOff: (service: string) => boolean;
	/** The same, after the check that is under way, if there is one. */
	confirm: (service: string) => Promise<boolean>;
	/** Whether the entry is cut off from all services with backend servers. */
	isIsolated: () => boolean;
	stop: () => void;
}>;

/** Dependencies of the checks. */
export type BackendReachOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	random: () => number;
	/** Backend servers that are in service, by service. */
	listInService: () => ReadonlyMap<string, readonly BackendRecord[]>;
	/** Resolves with whether a backend server accepts a connection. */
	connect: (backend: BackendRecord) => Promise<boolean>;
}>;

/** Backend servers that are tried in a round; a rack or release takes fewer. */
const ROUND_SIZE = 5;
/** A check that found a reachable backend server holds for this long. */
const CHECK_INTERVAL_MS = 300;
/** Interval of the checks while a service is cut off. */
const RECHECK_INTERVAL_MS = 400;

/** Creates the checks for an entry that has not lost any backend server yet. */
export function createBackendReach(options: BackendReachOptions): BackendReach {
	const {clock, log, metrics, random, listInService, connect} = options;
	const guard = createTaskGuard(options);
	const reaches = new Map<string, Reach>();
	const running = new Map<string, Promise<void>>();
	const checkedAt = new Map<string, number>();

	const readReach = (service: string): Reach =>
		reaches.get(service) ?? CONNECTED;

	const isCutOff = (service: string): boolean =>
		readReach(service).kind === 'cut-off';

	const chooseTargets = (service: string): readonly BackendRecord[] =>
		(listInService().get(service) ?? [])
			.map((backend) => ({backend, order: random()}))
			.toSorted((a, b) => a.order - b.order)
			.slice(0, ROUND_SIZE)
			.map(({backend}) => backend);

	const runRound = async (service: string): Promise<void> => {
		const targets = chooseTargets(service);
		const results = await Promise.all(
			targets.map(async (target) => connect(target)),
		);
		const before = readReach(service);
		const round = {
			reached: results.filter(Boolean).length,
			tried: targets.length,
		};
		const after = applyReachRound(before, round, clock.now());
		reaches.set(service, after);
		checkedAt.set(service, clock.now());
		if (before.kind !== after.kind) {
			logChange(service, after, round);
		}
	};

	const logChange = (
		service: string,
		reach: Reach,
		round: Readonly<{reached: number; tried: number}>,
	): void => {
		const inService = listInService().get(service)?.length ?? 0;
		switch (reach.kind) {
			case 'cut-off': {
				metrics.count('reach_losses');
				log.warn('No backend server of a service is reachable from here.', {
					service,
					...round,
					inService,
				});
				break;
			}

			case 'connected': {
				log.info('Backend servers of a service are reachable again.', {
					service,
					...round,
					inService,
				});
				break;
			}
		}
	};

	const check = async (service: string): Promise<void> => {
		const known = running.get(service);
		if (known !== undefined) {
			return known;
		}

		const round = guard.settle(runRound(service));
		running.set(service, round);
		await round;
		running.delete(service);
	};

	const suspect = (service: string): void => {
		const at = checkedAt.get(service) ?? Number.NEGATIVE_INFINITY;
		if (!isCutOff(service) && clock.now() - at >= CHECK_INTERVAL_MS) {
			void checkThenOthers(service);
		}
	};

	/** An entry with little traffic would learn of its other services late. */
	const checkThenOthers = async (service: string): Promise<void> => {
		await check(service);
		if (isCutOff(service)) {
			[...listInService().keys()]
				.filter((other) => !isCutOff(other))
				.forEach((other) => {
					void check(other);
				});
		}
	};

	const timer = setInterval(() => {
		[...reaches.keys()].filter(isCutOff).forEach((service) => {
			void check(service);
		});
	}, RECHECK_INTERVAL_MS);

	return {
		suspect,
		isCutOff,
		async confirm(service) {
			await running.get(service);
			return isCutOff(service);
		},
		isIsolated() {
			const services = [...listInService().keys()];
			return services.length > 0 && services.every(isCutOff);
		},
		stop() {
			clearInterval(timer);
		},
	};
}
