import {
	addSpeeds,
	addSpeedSample,
	assessSpeeds,
	type BackendLoad,
	type Candidate,
	chooseBackend,
	computePlainWork,
	computeRelativeSpeed,
	decaySpeeds,
	NO_LOAD,
	NO_SPEED,
	type ServiceSpeeds,
	type SpeedSums,
} from '../../index.js';

/** A service whose servers run at known speeds. */
export type SimulatedService = Readonly<{
	servers: number;
	entries: number;
	requestsPerSecond: number;
	/** Speed of a server as a multiple of the common one. */
	readSpeed: (server: number, now: number, running: number) => number;
	/** Milliseconds for which plain servers work on a request; engines if absent. */
	serviceMs?: number;
	random: () => number;
}>;

/** Where the requests of a simulation went. */
export type Simulation = Readonly<{
	runUntil: (now: number) => void;
	/** Requests by server since the last call. */
	takeCounts: () => readonly number[];
	/** Median time to the first event or answer since the last call, in milliseconds. */
	takeMedianMs: () => number;
	/** Number of entries that place by learned speeds. */
	countDifferent: () => number;
	readQueueMs: () => readonly number[];
}>;

type Entry = {
	own: Map<number, Readonly<{sums: SpeedSums; at: number}>>;
	others: Map<number, SpeedSums>;
	othersAt: number;
	ownLoads: Map<number, BackendLoad>;
	othersLoads: readonly BackendLoad[];
	assessment: ServiceSpeeds | undefined;
};

const TOKENS_PER_MS = 5;
const PROMPT_TOKENS = 5200;
const RUN_MS = 4000;
const SLOTS = {engine: 16, plain: 6};
const ENGINE = {
	slots: SLOTS.engine,
	memoryTokens: 1e9,
	canBackUp: false,
	canCopy: false,
};
const REPORT_MS = 200;
const SPEEDS_MS = 1000;
const STEP_MS = 5;

/** Creates a simulation without a network: reports are as old as in a deployment. */
export function simulate(service: SimulatedService): Simulation {
	const {servers, random, serviceMs} = service;
	const isPlain = serviceMs !== undefined;
	const slots = isPlain ? SLOTS.plain : SLOTS.engine;
	const entries = Array.from({length: service.entries}, (): Entry => ({
		own: new Map(),
		others: new Map(),
		othersAt: 0,
		ownLoads: new Map(),
		othersLoads: Array.from({length: servers}, () => NO_LOAD),
		assessment: undefined,
	}));
	/** Requests at each server, the oldest first, with the work that is left. */
	const queues = Array.from(
		{length: servers},
		(): Array<{left: number; onDone: () => void}> => [],
	);
	const ends: Array<{at: number; run: () => void}> = [];
	let counts = Array.from({length: servers}, () => 0);
	let times: number[] = [];
	let now = 0;
	let due = 0;

	const addLoadTo = (entry: Entry, server: number, sign: 1 | -1): void => {
		const load = entry.ownLoads.get(server) ?? NO_LOAD;
		entry.ownLoads.set(server, {...load, running: load.running + sign});
	};

	const readOwn = (entry: Entry, server: number): SpeedSums => {
		const found = entry.own.get(server);
		return found === undefined
			? NO_SPEED
			: decaySpeeds(found.sums, now - found.at);
	};

	const readSums = (entry: Entry, server: number): SpeedSums =>
		addSpeeds(
			readOwn(entry, server),
			decaySpeeds(entry.others.get(server) ?? NO_SPEED, now - entry.othersAt),
		);

	const assess = (entry: Entry): ServiceSpeeds => {
		const sums = new Map(
			queues.map((_, server) => [String(server), readSums(entry, server)]),
		);
		entry.assessment = assessSpeeds(sums, entry.assessment, now);
		return entry.assessment;
	};

	const send = (entry: Entry): void => {
		const assessment = assess(entry);
		const sums = queues.map((_, server) => readSums(entry, server));
		const candidates = sums.map((one, server): Candidate => ({
			id: String(server),
			address: '',
			dataCentre: 'a',
			slots,
			ownLoad: entry.ownLoads.get(server) ?? NO_LOAD,
			othersLoad: entry.othersLoads[server]!,
			isResponsive: true,
			isAvoided: false,
			relativeSpeed: computeRelativeSpeed(assessment, one),
		}));
		const chosen = chooseBackend(
			candidates,
			{
				dataCentre: 'a',
				promptTokens: isPlain ? 0 : PROMPT_TOKENS,
				memoryTokens: 0,
				excluded: [],
				failedDataCentres: [],
				engine: isPlain ? undefined : ENGINE,
			},
			random(),
		)!;
		const server = Number(chosen.id);
		const {ownLoad, othersLoad} = chosen;
		const work = isPlain
			? computePlainWork(ownLoad.running + othersLoad.running, slots)
			: ownLoad.prefillTokens + othersLoad.prefillTokens + PROMPT_TOKENS;
		const sentAt = now;
		counts[server]! += 1;
		addLoadTo(entry, server, 1);
		const addPrefill = (tokens: number): void => {
			const load = entry.ownLoads.get(server)!;
			entry.ownLoads.set(server, {
				...load,
				prefillTokens: load.prefillTokens + tokens,
			});
		};

		addPrefill(isPlain ? 0 : PROMPT_TOKENS);
		queues[server]!.push({
			left: isPlain
				? serviceMs * -Math.log(1 - random()) * 0.3 + serviceMs * 0.7
				: PROMPT_TOKENS / TOKENS_PER_MS,
			onDone() {
				const ms = now - sentAt;
				times.push(ms);
				entry.own.set(server, {
					sums: addSpeedSample(readOwn(entry, server), {work, ms}),
					at: now,
				});
				if (isPlain) {
					addLoadTo(entry, server, -1);
				} else {
					addPrefill(-PROMPT_TOKENS);
					ends.push({
						at: now + RUN_MS,
						run() {
							addLoadTo(entry, server, -1);
						},
					});
				}
			},
		});
	};

	const work = (server: number): void => {
		const queue = queues[server]!;
		const running = entries.reduce(
			(sum, {ownLoads}) => sum + (ownLoads.get(server)?.running ?? 0),
			0,
		);
		const speed = service.readSpeed(server, now, running);
		const active = queue.slice(0, isPlain ? slots : 1);
		active.forEach((one) => {
			one.left -= STEP_MS * speed;
		});
		const done = queue.filter(({left}) => left <= 0);
		queues[server] = queue.filter(({left}) => left > 0);
		done.forEach(({onDone}) => {
			onDone();
		});
	};

	const report = (entry: Entry): void => {
		entry.othersLoads = queues.map((_, server) =>
			entries.reduce((sum, other) => {
				const load = other === entry ? undefined : other.ownLoads.get(server);
				return load === undefined
					? sum
					: {
							running: sum.running + load.running,
							prefillTokens: sum.prefillTokens + load.prefillTokens,
							memoryTokens: 0,
						};
			}, NO_LOAD),
		);
	};

	const shareSpeeds = (entry: Entry): void => {
		entry.othersAt = now;
		entry.others = new Map(
			queues.map((_, server) => [
				server,
				entries
					.filter((other) => other !== entry)
					.map((other) => readOwn(other, server))
					.reduce(addSpeeds, NO_SPEED),
			]),
		);
		assess(entry);
	};

	/** Entries report at different moments of the interval. */
	const exchange = (entry: Entry, index: number): void => {
		const shifted = now + ((index * 7 * STEP_MS) % SPEEDS_MS);
		if (shifted % REPORT_MS === 0) {
			report(entry);
		}

		if (shifted % SPEEDS_MS === 0) {
			shareSpeeds(entry);
		}
	};

	return {
		runUntil(end) {
			while (now < end) {
				now += STEP_MS;
				queues.forEach((_, server) => {
					work(server);
				});
				while (ends.length > 0 && ends[0]!.at <= now) {
					ends.shift()!.run();
				}

				entries.forEach(exchange);
				due += (service.requestsPerSecond * STEP_MS) / 1000;
				while (due >= 1) {
					due -= 1;
					send(entries[Math.floor(random() * entries.length)]!);
				}
			}
		},
		takeCounts() {
			const taken = counts;
			counts = Array.from({length: servers}, () => 0);
			return taken;
		},
		takeMedianMs() {
			const sorted = times.sort((a, b) => a - b);
			times = [];
			return sorted[Math.floor(sorted.length / 2)] ?? 0;
		},
		countDifferent: () =>
			entries.filter(({assessment}) => assessment?.areDifferent === true)
				.length,
		readQueueMs: () =>
			queues.map((queue) => queue.reduce((sum, {left}) => sum + left, 0)),
	};
}
