import {
	addLoad,
	type AvoidReason,
	type BackendLoad,
	type BackendRecord,
	type BackendTable,
	type Candidate,
	chooseBackend,
	type ControlReport,
	dropOldRecords,
	fromAgedRecord,
	fromCompactLoads,
	type ExchangeOutcome,
	isAvoided,
	mergeRecords,
	NO_LOAD,
	getAvoidReason,
	applyReportedAges,
	recordExchange,
	type BackendHealth,
	UNKNOWN_HEALTH,
	type PlacementRequest,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';

/** What the view is made with. */
export type BackendViewParts = Readonly<{
	clock: Clock;
	log: Logger;
	/** Usual time between two registrations of a backend server, in milliseconds. */
	registrationIntervalMs: number;
}>;

/** Work that is placed at a backend server until it is released. */
export type Placement = Readonly<{
	backend: BackendRecord;
	/** The prompt has been read. */
	markStarted: () => void;
	release: () => void;
}>;

/** Whether a backend server may get work. */
export type Usability =
	| 'usable'
	/** It is leaving, has ended or was never heard of. */
	| 'ended'
	/** Registrations and answers are missing. */
	| 'silent'
	/** It took no connection, or failed most requests, a moment ago. */
	| AvoidReason;

/** What this entry knows of the backend servers. */
export type BackendView = Readonly<{
	/** Takes in what a control instance reports. */
	applyReport: (report: ControlReport) => void;
	choose: (
		service: string,
		work: PlacementRequest,
		random: number,
	) => BackendRecord | undefined;
	find: (id: string) => BackendRecord | undefined;
	/** Whether a backend server may get work, and if not, why. */
	readUsability: (id: string) => Usability;
	place: (backend: BackendRecord, work: PlacementRequest) => Placement;
	signal: (backend: BackendRecord, signal: ExchangeOutcome) => void;
	readOwnLoads: () => Readonly<Record<string, BackendLoad>>;
	count: () => number;
}>;

/** Registrations that a backend server may miss before it counts as silent. */
const MISSED_REGISTRATIONS = 2.5;
/** An answer within this time shows that a backend server lives. */
const ANSWER_FRESH_MS = 2000;

/** Creates an empty view. */
export function createBackendView(parts: BackendViewParts): BackendView {
	const {clock, log} = parts;
	const silentAfterMs = parts.registrationIntervalMs * MISSED_REGISTRATIONS;
	const health = new Map<string, BackendHealth>();
	const own = new Map<string, BackendLoad>();
	let table: BackendTable = new Map();
	let others: Readonly<Record<string, BackendLoad>> = {};
	/** Ages stand still while no control instance answers. */
	let reportedAt = 0;

	const readHealth = (id: string): BackendHealth =>
		health.get(id) ?? UNKNOWN_HEALTH;

	const isHeard = (record: BackendRecord): boolean => {
		const {answeredAt} = readHealth(record.id);
		return (
			reportedAt - record.heardAt < silentAfterMs ||
			(answeredAt !== undefined && clock.now() - answeredAt < ANSWER_FRESH_MS)
		);
	};

	const toCandidate = (record: BackendRecord): Candidate => ({
		id: record.id,
		address: record.address,
		dataCentre: record.dataCentre,
		slots: record.slots,
		ownLoad: own.get(record.id) ?? NO_LOAD,
		othersLoad: others[record.id] ?? NO_LOAD,
		isResponsive: isHeard(record),
		isAvoided: isAvoided(readHealth(record.id), clock.now()),
	});

	const change = (id: string, added: BackendLoad): void => {
		const next = addLoad(own.get(id) ?? NO_LOAD, added);
		if (next.running > 0) {
			own.set(id, next);
		} else {
			own.delete(id);
		}
	};

	const logChanges = (before: BackendTable): void => {
		[...table.values()]
			.filter((record) => {
				const known = before.get(record.id);
				return known?.state !== record.state || known.bornAt !== record.bornAt;
			})
			.forEach(({id, service, address, state, heardAt}) => {
				health.delete(id);
				log.info('A backend server changed.', {
					backend: id,
					service,
					address,
					state,
					ageMs: Math.round(reportedAt - heardAt),
				});
			});
	};

	return {
		applyReport(report) {
			const now = clock.now();
			const before = table;
			const {backends, agesMs, overview} = report;
			const records = backends.map((record) => fromAgedRecord(record, now));
			const merged =
				records.length === 0 ? table : mergeRecords(table, records).table;
			table =
				agesMs === undefined
					? merged
					: dropOldRecords(applyReportedAges(merged, agesMs, now), now);
			// Registrations are only judged as missing when newer ones could have come.
			reportedAt = agesMs === undefined ? reportedAt : now;
			others =
				overview === undefined ? others : fromCompactLoads(overview.loads);
			if (records.length > 0) {
				logChanges(before);
			}
		},
		choose(service, work, random) {
			const candidates = [...table.values()]
				.filter(
					(record) => record.service === service && record.state === 'ready',
				)
				.map(toCandidate);
			const chosen = chooseBackend(candidates, work, random);
			return chosen === undefined ? undefined : table.get(chosen.id);
		},
		find: (id) => table.get(id),
		readUsability(id) {
			const record = table.get(id);
			if (record?.state !== 'ready') {
				return 'ended';
			}

			const reason = getAvoidReason(readHealth(id), clock.now());
			return reason ?? (isHeard(record) ? 'usable' : 'silent');
		},
		place(backend, work) {
			const {id} = backend;
			let prefillTokens = work.promptTokens;
			let isHeld = true;
			change(id, {
				running: 1,
				prefillTokens,
				memoryTokens: work.memoryTokens,
			});
			return {
				backend,
				markStarted() {
					change(id, {...NO_LOAD, prefillTokens: -prefillTokens});
					prefillTokens = 0;
				},
				release() {
					if (isHeld) {
						isHeld = false;
						change(id, {
							running: -1,
							prefillTokens: -prefillTokens,
							memoryTokens: -work.memoryTokens,
						});
					}
				},
			};
		},
		signal({id, bornAt}, signal) {
			// What an earlier incarnation did says nothing of the present one.
			if (table.get(id)?.bornAt !== bornAt) {
				return;
			}

			const before = readHealth(id);
			const after = recordExchange(before, signal, clock.now());
			health.set(id, after);
			if (after.avoidedUntil > clock.now()) {
				log.warn('A backend server is left alone.', {
					backend: id,
					signal,
					forMs: Math.round(after.avoidedUntil - clock.now()),
				});
			}
		},
		readOwnLoads: () => Object.fromEntries(own),
		count: () =>
			[...table.values()].filter(({state}) => state === 'ready').length,
	};
}
