import {type EntryReport, readOwn} from '@lovagevalve/dispatch';
import {
	addCounts,
	fromCompactCounts,
	NO_COUNTS,
	type RolloutCounts,
	type SecondCounts,
	subtractCounts,
	type VersionCounts,
} from '@lovagevalve/rollout';
import type {Clock} from '@lovagevalve/runtime';

/** What the entries counted for a running order. */
export type OrderCounts = Readonly<{
	/** Responses by second, the oldest first. */
	seconds: readonly SecondCounts[];
	total: number;
	exposed: number;
	/** Requests a second within the last seconds. */
	perSecond: number;
	oldRunning: number;
}>;

/** Counts of running orders over all entries; soft state, as entries report them again. */
export type RolloutCountsRegistry = Readonly<{
	applyReport: (report: Pick<EntryReport, 'entry' | 'rollouts'>) => void;
	/** Sums what was counted for an order; entries that are silent run nothing. */
	describe: (
		service: string,
		to: string,
		silent: readonly string[],
	) => OrderCounts;
	/** Whether all entries that reported lately know the decisions of a revision. */
	isKnownToAll: (revision: number) => boolean;
	/** Forgets the counts of orders other than the running ones. */
	keepOnly: (running: ReadonlyMap<string, string>) => void;
}>;

type RouteCounts = Readonly<{fresh: VersionCounts; old: VersionCounts}>;

type Second = {
	readonly startedAt: number;
	requests: number;
	readonly routes: Map<string, RouteCounts>;
};

type Order = {
	readonly to: string;
	seconds: readonly Second[];
	total: number;
	exposed: number;
	readonly byEntry: Map<string, RolloutCounts>;
};

const SECOND_MS = 1000;
/** Seconds that are kept; a verdict on more of them would cost time and say no more. */
const MAX_SECONDS = 120;
/** Seconds over which the rate of requests is taken. */
const RATE_SECONDS = 3;
/** Silence after which an entry is no longer waited for here; it counts as out of contact. */
const ENTRY_TIMEOUT_MS = 1500;
/** Routes that are counted for an order; further ones are left out. */
const MAX_ROUTES = 200;

function countSince(later: number, earlier: number): number {
	return later < earlier ? later : later - earlier;
}

/** Creates a registry without counts. */
export function createRolloutCounts(
	clock: Pick<Clock, 'now'>,
): RolloutCountsRegistry {
	const orders = new Map<string, Order>();
	/** Revision that each entry knew at its last report, and when that was. */
	const known = new Map<string, {revision: number; at: number}>();

	const openSecond = (order: Order): Second => {
		const now = clock.now();
		const last = order.seconds.at(-1);
		if (last !== undefined && now - last.startedAt < SECOND_MS) {
			return last;
		}

		const second: Second = {startedAt: now, requests: 0, routes: new Map()};
		order.seconds = [...order.seconds.slice(1 - MAX_SECONDS), second];
		return second;
	};

	const addReport = (
		order: Order,
		entry: string,
		counts: RolloutCounts,
	): void => {
		const known = order.byEntry.get(entry);
		const second = openSecond(order);
		const requests = countSince(counts.total, known?.total ?? 0);
		second.requests += requests;
		order.total += requests;
		order.exposed += countSince(counts.exposed, known?.exposed ?? 0);
		Object.entries(counts.routes).forEach(([route, [fresh, old]]) => {
			const [knownFresh, knownOld] = readOwn(known?.routes ?? {}, route) ?? [
				[],
				[],
			];
			const sum = second.routes.get(route);
			if (sum === undefined && second.routes.size >= MAX_ROUTES) {
				return;
			}

			const addNew = (
				part: VersionCounts | undefined,
				later: readonly number[],
				earlier: readonly number[],
			): VersionCounts =>
				addCounts(
					part ?? NO_COUNTS,
					subtractCounts(fromCompactCounts(later), fromCompactCounts(earlier)),
				);
			second.routes.set(route, {
				fresh: addNew(sum?.fresh, fresh, knownFresh),
				old: addNew(sum?.old, old, knownOld),
			});
		});
		order.byEntry.set(entry, counts);
	};

	return {
		applyReport({entry, rollouts}) {
			if (rollouts !== undefined) {
				known.set(entry, {revision: rollouts.revision, at: clock.now()});
			}

			Object.entries(rollouts?.counts ?? {}).forEach(([service, counts]) => {
				const counted = orders.get(service);
				const order =
					counted?.to === counts.to
						? counted
						: {
								to: counts.to,
								seconds: [],
								total: 0,
								exposed: 0,
								byEntry: new Map<string, RolloutCounts>(),
							};
				orders.set(service, order);
				addReport(order, entry, counts);
			});
		},
		describe(service, to, silent) {
			const order = orders.get(service);
			if (order?.to !== to) {
				return {seconds: [], total: 0, exposed: 0, perSecond: 0, oldRunning: 0};
			}

			const now = clock.now();
			const recent = order.seconds.filter(
				({startedAt}) => now - startedAt < RATE_SECONDS * SECOND_MS,
			);
			const spanMs = Math.max(SECOND_MS, now - (recent[0]?.startedAt ?? now));
			const requests = recent.reduce((sum, second) => sum + second.requests, 0);
			const silentEntries = new Set(silent);
			return {
				seconds: order.seconds.map(({routes}) => routes),
				total: order.total,
				exposed: order.exposed,
				perSecond: (requests * 1000) / spanMs,
				oldRunning: [...order.byEntry]
					.filter(([entry]) => !silentEntries.has(entry))
					.reduce((sum, [, {oldRunning}]) => sum + oldRunning, 0),
			};
		},
		isKnownToAll(revision) {
			known.forEach(({at}, entry) => {
				if (clock.now() - at > ENTRY_TIMEOUT_MS) {
					known.delete(entry);
				}
			});
			return [...known.values()].every((one) => one.revision >= revision);
		},
		keepOnly(running) {
			orders.forEach(({to}, service) => {
				if (running.get(service) !== to) {
					orders.delete(service);
				}
			});
		},
	};
}
