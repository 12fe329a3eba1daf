import type {AgedRecord, BackendRecord} from '@lovagevalve/dispatch';
import type {LoadReservation} from '../../load-reservations.js';
import {
	createExchange,
	createSimulatedEntries,
	type SimulatedEntry,
} from './brittle-entries.js';

/** Load of brittle backend servers of one service, and what happens to them. */
export type Scenario = Readonly<{
	seed: number;
	entries: number;
	backends: number;
	slots: number;
	/** Requests that a backend server runs at once; absent for as many as its slots. */
	takes?: number;
	workMs: number;
	perSecond: number;
	durationMs: number;
	/** Time between crashes, of one backend server after the other; absent for none. */
	crashEveryMs?: number;
}>;

/** What callers and backend servers saw. */
export type Outcome = Readonly<{
	/** Share of the requests that were served, by entry in the order of ranks. */
	servedByEntry: readonly number[];
	served: number;
	rejections: number;
	falls: number;
}>;

type Backend = {
	record: AgedRecord;
	running: Set<Request>;
	rejectedAt: readonly number[];
	upAt: number;
};

type Attempt = Readonly<{reservation: LoadReservation; sentAt: number}>;

type Request = {
	entry: SimulatedEntry;
	startedAt: number;
	pollAt: number;
	excluded: readonly string[];
	attempt?: Attempt;
};

const TICK_MS = 5;
const REPORT_INTERVAL_MS = 200;
const POLL_MS = 15;
const MAX_WAIT_MS = 200;
const MAX_REJECTIONS = 4;
const DOWN_MS = 700;
const STARTED_AT = 100_000;

/** Creates a generator of numbers in [0, 1), the same for the same seed (Park and Miller). */
function createRandom(seed: number): () => number {
	let state = seed * 7919;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

function createBackend(slots: number, index: number): Backend {
	return {
		record: {
			id: `desk-${index}`,
			service: 'desk',
			address: `10.0.0.${index}:80`,
			dataCentre: 'a',
			state: 'ready',
			slots,
			bornAt: 1,
			sequence: 1,
			ageMs: 0,
		},
		running: new Set(),
		rejectedAt: [],
		upAt: 0,
	};
}

function notify(
	{view}: SimulatedEntry,
	backend: BackendRecord,
	sentAt: number,
): void {
	const brittle = {kind: 'named', perSecond: MAX_REJECTIONS} as const;
	view.recordNotice(backend, {isLeaving: false, brittle}, sentAt);
}

/** Plays callers, entries and brittle backend servers in simulated time. */
export function playBrittleService(scenario: Scenario): Outcome {
	const {seed, slots, takes = slots, workMs} = scenario;
	const {perSecond, durationMs, crashEveryMs = Infinity} = scenario;
	const random = createRandom(seed);
	const time = {now: STARTED_AT};
	const clock = {now: () => time.now, wall: () => time.now};
	const observed = {rejections: 0, falls: 0};
	const requests = new Set<Request>();
	const backends = Array.from({length: scenario.backends}, (_, index) =>
		createBackend(slots, index),
	);
	const entries = createSimulatedEntries(scenario.entries, clock, random);
	const exchange = createExchange(clock, scenario.entries);

	const endAttempt = (req: Request): Attempt => {
		const attempt = req.attempt!;
		req.attempt = undefined;
		attempt.reservation.release();
		return attempt;
	};

	const crash = (backend: Backend): void => {
		if (backend.upAt > time.now) {
			return;
		}

		backend.running.forEach((req) => {
			const {reservation} = endAttempt(req);
			req.excluded = [...req.excluded, reservation.backend.id];
			req.entry.view.reportHealth(reservation.backend, 'unreachable');
		});
		backend.running.clear();
		backend.rejectedAt = [];
		backend.upAt = time.now + DOWN_MS;
		backend.record = {...backend.record, bornAt: backend.record.bornAt + 1};
	};

	const reject = (backend: Backend, req: Request): void => {
		const {reservation, sentAt} = endAttempt(req);
		req.excluded = [...req.excluded, reservation.backend.id];
		notify(req.entry, reservation.backend, sentAt);
		req.entry.view.recordRejection(reservation.backend);
		observed.rejections += 1;
		backend.rejectedAt = [
			...backend.rejectedAt.filter((at) => time.now - at < 1000),
			time.now,
		];
		if (backend.rejectedAt.length > MAX_REJECTIONS) {
			observed.falls += 1;
			crash(backend);
		}
	};

	const complete = (backend: Backend, req: Request): void => {
		const {reservation, sentAt} = endAttempt(req);
		backend.running.delete(req);
		notify(req.entry, reservation.backend, sentAt);
		req.entry.view.reportHealth(reservation.backend, 'answered');
		req.entry.counts.served += 1;
		requests.delete(req);
	};

	const send = (req: Request): void => {
		const {view} = req.entry;
		const placement = {
			dataCentre: 'a',
			promptTokens: 0,
			memoryTokens: 0,
			excluded: req.excluded,
			failedDataCentres: [],
		};
		const chosen = view.choose('desk', placement, random());
		if (chosen === undefined) {
			req.pollAt = time.now + POLL_MS;
			if (time.now - req.startedAt >= MAX_WAIT_MS) {
				requests.delete(req);
			}

			return;
		}

		const backend = backends.find(({record}) => record.id === chosen.id)!;
		if (backend.upAt > time.now) {
			view.reportHealth(chosen, 'unreachable');
			req.excluded = [...req.excluded, chosen.id];
			return;
		}

		req.attempt = {
			reservation: view.reserve(chosen, placement),
			sentAt: time.now,
		};
		if (backend.running.size < takes) {
			backend.running.add(req);
		} else {
			reject(backend, req);
		}
	};

	const endAt = STARTED_AT + durationMs;
	let sent = 0;
	let crashes = 0;
	while (time.now < endAt || requests.size > 0) {
		const elapsed = time.now - STARTED_AT;
		const tick = Math.floor((elapsed % REPORT_INTERVAL_MS) / TICK_MS);
		const registered = backends.filter(({upAt}) => upAt <= time.now);
		entries
			.filter(
				({phase}) =>
					Math.floor((phase * REPORT_INTERVAL_MS) / TICK_MS) === tick,
			)
			.forEach((entry) => {
				exchange(
					entry,
					registered.map(({record}) => record),
				);
			});
		backends.forEach((backend) => {
			[...backend.running]
				.filter(({attempt}) => time.now - attempt!.sentAt >= workMs)
				.forEach((req) => {
					complete(backend, req);
				});
		});
		if (time.now < endAt && elapsed >= (crashes + 1) * crashEveryMs) {
			crash(backends[crashes % backends.length]!);
			crashes += 1;
		}

		while (time.now < endAt && sent < (elapsed * perSecond) / 1000) {
			const entry = entries[sent % entries.length]!;
			sent += 1;
			entry.counts.sent += 1;
			requests.add({
				entry,
				startedAt: time.now,
				pollAt: time.now,
				excluded: [],
			});
		}

		[...requests]
			.filter(
				({attempt, pollAt}) => attempt === undefined && pollAt <= time.now,
			)
			.forEach((req) => {
				send(req);
			});
		time.now += TICK_MS;
	}

	const served = entries.reduce((sum, {counts}) => sum + counts.served, 0);
	return {
		...observed,
		servedByEntry: entries.map(({counts}) => counts.served / counts.sent),
		served: served / sent,
	};
}
