import {
	type BackendRecord,
	createIncarnationKey,
	describeMetFloods,
	type ExchangeOutcome,
	type FloodReports,
	type FloodTimes,
	hearFloods,
	listAvoidedAsTold,
	recordFlood,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';

/** Flooding backend servers that this entry met, and those that others told it of. */
export type ToldFloodsHere = Readonly<{
	/** Records the outcome of an exchange of this entry. */
	record: (backend: BackendRecord, outcome: ExchangeOutcome) => void;
	/** What this entry tells the control instances; what it only heard is not told on. */
	createReport: () => FloodReports;
	/** Applies what a control instance tells; an older one tells nothing. */
	applyReport: (floods: FloodReports | undefined) => void;
	/** Ids of the backend servers of a service that are avoided for what others met. */
	listAvoided: (service: string) => ReadonlySet<string>;
}>;

/** Backend servers as the entry knows them. */
export type ToldFloodsOptions = Readonly<{
	clock: Clock;
	log: Logger;
	find: (id: string) => BackendRecord | undefined;
	/** Backend servers of a service that may get requests and were heard of recently. */
	listInUse: (service: string) => readonly BackendRecord[];
	/** Whether this entry avoids a backend server for what it met itself. */
	isAvoided: (id: string) => boolean;
}>;

const NONE: ReadonlySet<string> = new Set();

/** Creates the floods of an entry that has met and heard of none. */
export function createToldFloods({
	clock,
	log,
	find,
	listInUse,
	isAvoided,
}: ToldFloodsOptions): ToldFloodsHere {
	let met: FloodTimes = new Map();
	let heard: FloodTimes = new Map();

	return {
		record(backend, outcome) {
			const key = createIncarnationKey(backend);
			const before = met;
			met = recordFlood(before, key, outcome, clock.now());
			if (met.has(key) && !before.has(key)) {
				log.warn('Telling other entries of a flooding backend server.', {
					backend: key,
					service: backend.service,
				});
			}
		},
		createReport: () => describeMetFloods(met, clock.now()),
		applyReport(floods) {
			if (floods === undefined) {
				return;
			}

			const now = clock.now();
			const before = heard;
			heard = hearFloods(floods, find, now);
			[...heard]
				.filter(([key]) => !before.has(key))
				.forEach(([backend, at]) => {
					log.warn('Another entry met a flooding backend server.', {
						backend,
						ageMs: Math.round(now - at),
					});
				});
		},
		listAvoided(service) {
			if (heard.size === 0) {
				return NONE;
			}

			const inUse = listInUse(service);
			const keys = listAvoidedAsTold(
				inUse.map((record) => ({
					key: createIncarnationKey(record),
					isAvoided: isAvoided(record.id),
				})),
				heard,
				clock.now(),
			);
			return new Set(
				inUse
					.filter((record) => keys.has(createIncarnationKey(record)))
					.map(({id}) => id),
			);
		},
	};
}
